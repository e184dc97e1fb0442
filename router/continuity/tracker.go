// Package continuity keeps streams at the version of the runners' software that began
// them. Runners of several versions may serve one service, and what two of them write
// doesn't fit together.
//
// While a single version serves, it began all streams, and nothing is kept or sent. While
// several do, the instance that begins a stream remembers its version and tells two others,
// which are chosen by the stream, so that any instance finds it when the caller takes the
// stream up. Runners are asked what they hold once no instance remembers a stream, as after
// a loss of all of them. The store has the versions that served recently, so that instances that have
// just started know whether there was only one.
package continuity

import (
	"context"
	"encoding/json"
	"sync"
	"sync/atomic"
	"time"

	"cicadawell.dev/fleet/clock"
	"cicadawell.dev/fleet/fault"
	"cicadawell.dev/router/instance"
	"cicadawell.dev/router/inventory"
	"cicadawell.dev/router/routing"
	"github.com/hashicorp/go-hclog"
)

// Methods that instances call on each other.
const (
	methodBegan   = "continuity.began"
	methodVersion = "continuity.version"
)

const (
	// keepers is how many instances are told of a stream, askedKeepers how many are asked
	// for it. One more is asked, as the keepers move on when an instance joins or leaves.
	keepers      = 2
	askedKeepers = keepers + 1
	// ownerKeyPrefix and the stream form the key by which its keepers are chosen.
	ownerKeyPrefix = "continuity/"
	// tellTimeout bounds a message to a keeper, askTimeout a question.
	tellTimeout = time.Second
	askTimeout  = 150 * time.Millisecond
	// maxTold bounds the streams of one message.
	maxTold = 512
)

// Tracker knows which versions began streams.
type Tracker interface {
	// MayBegin returns whether streams of a service may begin at a version now. They begin
	// at a new version once all instances know it.
	MayBegin(service string) func(version string) bool
	// Began records the version that began a stream.
	Began(service, stream, version string)
	// VersionOf returns the version that began a stream. The last part of its prompt, which
	// no other stream has, may be known at the runner that began it. The error says that the
	// version isn't known, and that the call has not run.
	VersionOf(ctx context.Context, service, stream, lastPart string) (string, error)
	// Run keeps the record of the versions in the store until ctx ends.
	Run(ctx context.Context) error
}

// Records keeps the versions that served recently in the store.
type Records interface {
	// Write replaces the record of a service, or removes it if there are no versions,
	// unless its revision has changed. The error is of the kind Conflict then.
	Write(ctx context.Context, v inventory.ServiceVersions) error
}

// Contents tells what the memory of runners holds.
type Contents interface {
	// Parts returns the identifiers of the prompt parts that a runner holds.
	Parts(ctx context.Context, r *inventory.Runner) ([]string, error)
}

// Owners finds the instances that keep a stream, or write a record. owner.Finder implements
// it.
type Owners interface {
	Ranked(key string, n int) []string
}

// New returns the tracker of an instance and handles the messages of other instances.
func New(clk clock.Clock, self string, current *inventory.Current, owners Owners, mesh instance.Mesh, records Records, contents Contents, log hclog.Logger) Tracker {
	t := &tracker{
		clk: clk, self: self, current: current, owners: owners, mesh: mesh, records: records, log: log, search: newSearch(clk, current, contents, log),
		services: make(map[string]*serviceVersions),
	}
	t.view.Store(&view{retention: minRetention})
	mesh.Handle(methodBegan, t.serveBegan)
	mesh.Handle(methodVersion, t.serveVersion)
	current.Subscribe(t.update)
	return t
}

type tracker struct {
	clk     clock.Clock
	self    string
	current *inventory.Current
	owners  Owners
	mesh    instance.Mesh
	records Records
	search  *search
	log     hclog.Logger
	// streams has those that began here, and those that this instance was told of.
	streams memory
	// group tracks the messages in flight.
	group sync.WaitGroup
	// view has what calls need to know.
	view atomic.Pointer[view]

	mu       sync.Mutex
	services map[string]*serviceVersions
	// table is that of the last snapshot, and resumable what follows from it.
	table     *routing.Table
	resumable map[string]time.Duration
}

// view is what calls need to know. It is immutable.
type view struct {
	services map[string]serviceView
	// retention is the longest one of the services, for which all streams are remembered.
	retention time.Duration
}

// serviceView is what calls need to know of the versions of a service. It is immutable.
type serviceView struct {
	retention time.Duration
	// only is the version that began all streams, if single is set.
	only   string
	single bool
	// beginsAt is from when on streams may begin at each version.
	beginsAt map[string]time.Time
	// singleAt is when one version will have begun all streams; zero if several have
	// runners.
	singleAt time.Time
}

// unknownFor returns for how long a stream that no instance remembers stays unknown at
// least.
func (v serviceView) unknownFor(now time.Time) time.Duration {
	if v.singleAt.IsZero() {
		return v.retention
	}
	return max(0, v.singleAt.Sub(now))
}

// update applies a snapshot.
func (t *tracker) update(s *inventory.Snapshot) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s.Table != t.table {
		t.table, t.resumable = s.Table, resumableServices(s.Table)
	}
	now := t.clk.Now()
	first := make(map[string]bool)
	for service, retention := range t.resumable {
		if t.services[service] == nil {
			t.services[service], first[service] = &serviceVersions{seen: make(map[string]sighting)}, true
		}
		v := t.services[service]
		v.retention = max(v.retention, retention)
	}
	// Services without such a route any more may still have a record.
	present := make(map[string]map[string]bool, len(t.services))
	for service := range t.services {
		present[service] = make(map[string]bool)
	}
	for _, r := range s.Runners {
		if versions := present[r.Service]; versions != nil {
			versions[r.Version] = true
		}
	}
	for service, v := range t.services {
		v.update(present[service], s.Versions[service], first[service], now)
	}
	t.renew(now)
	for service := range first {
		if v := t.view.Load().services[service]; !v.single && len(v.beginsAt) > 0 {
			t.group.Go(func() { t.search.find(context.Background(), service) })
		}
	}
}

// renew publishes what calls need to know. Once there are several versions, the keepers of
// the streams before that are told. The caller holds mu.
func (t *tracker) renew(now time.Time) {
	old := t.view.Load()
	next := &view{services: make(map[string]serviceView, len(t.services)), retention: minRetention}
	for service, v := range t.services {
		v.forget(now)
		next.services[service] = v.view()
		next.retention = max(next.retention, v.retention)
	}
	t.view.Store(next)
	for service, v := range next.services {
		if v.single || !old.services[service].single {
			continue
		}
		t.log.Info("several versions serve streams", "service", service, "versions", len(v.beginsAt))
		t.group.Go(func() { // choosing the keepers of many streams takes time
			for version, ids := range t.streams.all(service) {
				t.tell(service, version, ids)
			}
		})
	}
}

func (t *tracker) viewOf(service string) (serviceView, bool) {
	v, ok := t.view.Load().services[service]
	return v, ok
}

// note remembers the version that began a stream.
func (t *tracker) note(service, stream, version string) {
	t.streams.note(streamKey{service: service, id: stream}, version, t.clk.Now(), t.view.Load().retention)
}

func (t *tracker) MayBegin(service string) func(version string) bool {
	v, known := t.viewOf(service)
	switch {
	case !known:
		return func(string) bool { return true }
	case v.single:
		return func(version string) bool { return version == v.only }
	}
	now := t.clk.Now()
	return func(version string) bool {
		at, seen := v.beginsAt[version]
		return seen && !now.Before(at)
	}
}

func (t *tracker) Began(service, stream, version string) {
	v, known := t.viewOf(service)
	if !known || !valid(stream) {
		return
	}
	t.note(service, stream, version)
	if !v.single {
		t.tell(service, version, []string{stream})
	}
}

// beganBody tells a keeper which version began streams.
type beganBody struct {
	Service string   `json:"service"`
	Version string   `json:"version"`
	Streams []string `json:"streams"`
}

// tell sends the version of streams to their keepers.
func (t *tracker) tell(service, version string, streams []string) {
	byKeeper := make(map[string][]string)
	for _, id := range streams {
		for _, name := range t.owners.Ranked(ownerKeyPrefix+id, keepers) {
			if name != t.self {
				byKeeper[name] = append(byKeeper[name], id)
			}
		}
	}
	for name, ids := range byKeeper {
		t.group.Go(func() {
			for len(ids) > 0 {
				n := min(len(ids), maxTold)
				t.send(name, beganBody{Service: service, Version: version, Streams: ids[:n]})
				ids = ids[n:]
			}
		})
	}
}

func (t *tracker) send(to string, b beganBody) {
	ctx, cancel := context.WithTimeout(context.Background(), tellTimeout)
	defer cancel()
	if err := t.mesh.Call(instance.MarkIdempotent(ctx), to, methodBegan, b, nil); err != nil {
		t.log.Debug("keeper of streams not told", "instance", to, "streams", len(b.Streams), "error", err)
	}
}

func (t *tracker) serveBegan(_ context.Context, _ string, params json.RawMessage) (any, error) {
	var b beganBody
	if err := json.Unmarshal(params, &b); err != nil {
		return nil, fault.Wrap(fault.BadRequest, err, "decode a message").WithField(methodBegan)
	}
	if len(b.Streams) > maxTold {
		return nil, fault.New(fault.BadRequest, "found %d streams, at most %d are allowed", len(b.Streams), maxTold).WithField("streams")
	}
	for _, id := range b.Streams {
		t.note(b.Service, id, b.Version)
	}
	return nil, nil
}

// versionBody asks for the version that began a stream.
type versionBody struct {
	Service string `json:"service"`
	Stream  string `json:"stream"`
}

// versionAnswer is the answer.
type versionAnswer struct {
	Version string `json:"version"`
	Known   bool   `json:"known"`
	// Only is the version that began all streams, if there is one by the view of the keeper,
	// which is confirmed if Confirmed is set. Older builds don't tell.
	Only      string `json:"only,omitempty"`
	Confirmed bool   `json:"confirmed,omitempty"`
}

func (t *tracker) serveVersion(_ context.Context, _ string, params json.RawMessage) (any, error) {
	var b versionBody
	if err := json.Unmarshal(params, &b); err != nil {
		return nil, fault.Wrap(fault.BadRequest, err, "decode a question").WithField(methodVersion)
	}
	var a versionAnswer
	a.Version, a.Known = t.streams.versionOf(streamKey{service: b.Service, id: b.Stream})
	if v, known := t.viewOf(b.Service); known && v.single {
		a.Only, a.Confirmed = v.only, t.confirmed()
	}
	return a, nil
}

// confirmed reports whether the view is recent enough to know all versions at which streams
// may have begun.
func (t *tracker) confirmed() bool { return t.current.Age() <= settleTime }

func (t *tracker) VersionOf(ctx context.Context, service, stream, lastPart string) (string, error) {
	confirmed := t.confirmed()
	v, known := t.viewOf(service)
	switch {
	case !known:
		return "", errUnknown
	case v.single && confirmed:
		return v.only, nil
	}
	if version, ok := t.streams.versionOf(streamKey{service: service, id: stream}); ok {
		return version, nil
	}
	if valid(stream) {
		version, known, err := t.ask(ctx, versionBody{Service: service, Stream: stream}, v)
		switch {
		case known:
			return version, nil
		case err != nil:
			return "", errUnknown
		}
	}
	if !confirmed {
		t.log.Info("version of a stream isn't certain, as the view is old", "service", service, "stream", stream, "viewMillis", t.current.Age().Milliseconds())
		return "", errUnknown
	}
	if version, ok := t.search.versionOf(ctx, service, lastPart); ok {
		t.Began(service, stream, version)
		return version, nil
	}
	return "", errUnknown.WithRetryAfter(v.unknownFor(t.clk.Now()))
}

var errUnknown = fault.New(fault.NoRunner, "the version that began the stream isn't known")

// ask asks the keepers of a stream for its version. If a single version has begun all streams
// by this instance's view, that is the version if a keeper with a confirmed view, or all
// keepers, know no other one either. The error is that of a keeper that didn't answer, and may
// know the stream.
func (t *tracker) ask(ctx context.Context, b versionBody, v serviceView) (version string, known bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	names := t.owners.Ranked(ownerKeyPrefix+b.Stream, askedKeepers)
	type reply struct {
		versionAnswer
		err error
	}
	replies := make(chan reply, len(names))
	for _, name := range names {
		t.group.Go(func() {
			r := reply{versionAnswer: versionAnswer{Only: v.only}} // what this instance would answer
			if name != t.self {
				r.Only = ""
				r.err = t.mesh.Call(instance.MarkIdempotent(ctx), name, methodVersion, b, &r.versionAnswer)
			}
			replies <- r
		})
	}
	agreed := v.single
	for range names {
		r := <-replies
		if r.Known {
			return r.Version, true, nil
		}
		agreed = agreed && r.err == nil && r.Only == v.only
		if r.Confirmed && r.Only != "" {
			version, known = r.Only, true
		}
		if r.err != nil {
			t.log.Debug("keeper of a stream doesn't answer", "stream", b.Stream, "error", r.err)
			err = r.err
		}
	}
	if agreed {
		return v.only, true, nil
	}
	return version, known, err
}
