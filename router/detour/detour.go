// Package detour opens connections to runners. An instance that is cut off from all
// runners, though other instances reach them, opens them through these.
package detour

import (
	"context"
	"errors"
	"net"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"cicadawell.dev/fleet/clock"
	"cicadawell.dev/fleet/fault"
	"cicadawell.dev/fleet/random"
	"cicadawell.dev/router/inventory"
	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/singleflight"
)

// ErrCutOff is the error of a connection while neither this instance nor those that it
// asked reach the runners.
var ErrCutOff = errors.New("this instance is cut off from the runners, and no other one reaches them for it")

// Direct opens a connection from this instance to an address.
type Direct func(ctx context.Context, address string) (net.Conn, error)

// Tunnels opens connections through other instances. instance.Network implements it.
type Tunnels interface {
	Tunnel(ctx context.Context, to, address string) (net.Conn, error)
}

// Dialer opens connections to runners.
type Dialer interface {
	// Dial opens a connection to the address of a runner. If it fails nothing was sent.
	Dial(ctx context.Context, address string) (net.Conn, error)
	// Open opens a connection for another instance. It never goes through a further one.
	Open(ctx context.Context, from, address string) (net.Conn, error)
	// Leave has Open refuse all connections from now on.
	Leave()
	// Run finds out whether this instance is cut off, and whether it still is, until ctx
	// ends.
	Run(ctx context.Context) error
	// CutOff reports whether this instance is cut off from the runners, or was within the
	// last second.
	CutOff() bool
	// Reachable reports whether a connection to a runner may be opened now, directly or
	// through another instance.
	Reachable() bool
	// Watch calls lost each time that this instance is found to be cut off, until stop is
	// called. lost must not block.
	Watch(lost func()) (stop func())
	// Stats returns the state and the counters.
	Stats() Stats
}

// Stats has the state of a dialer and its counters since the start.
type Stats struct {
	// CutOff is whether the instance is cut off now.
	CutOff bool
	// Cuts is how often it was, Checks how often that was looked into.
	Cuts, Checks int64
	// Through counts the connections that were opened through other instances, Failed those
	// that couldn't be.
	Through, Failed int64
	// ForOthers counts the connections that were opened for other instances.
	ForOthers int64
}

const (
	// lateAfter is how long a connection may take to open until it is looked into whether
	// the instance is cut off: many round trips, and a pause of a process whose CPU time
	// is used up.
	lateAfter = 150 * time.Millisecond
	// silenceAfter is the same for the time in which nothing arrives from any runner
	// though something was sent.
	silenceAfter = 300 * time.Millisecond
	// probeTimeout bounds a probe of a runner, firstProbeTime the time that the first probe
	// of a check has to itself.
	probeTimeout   = 250 * time.Millisecond
	firstProbeTime = 60 * time.Millisecond
	// checkInterval is the least time between two checks that find the instance sound, and
	// silentCheckInterval the same for those that silence begins, since a runner may be
	// silent while it works.
	checkInterval       = 500 * time.Millisecond
	silentCheckInterval = time.Second
	// recentlyOpened is how long after the opening of a direct connection a failure to
	// another runner isn't looked into.
	recentlyOpened = 100 * time.Millisecond
	// tick is how often Run looks for silence, returnInterval the time between two probes
	// of an instance that is cut off.
	tick           = 100 * time.Millisecond
	returnInterval = 300 * time.Millisecond
	// throughTimeout bounds the opening of a connection through one other instance.
	throughTimeout = 300 * time.Millisecond
	// maxCarriers is how many other instances try to open one connection, and maxRefusals
	// how many are asked that refuse at once.
	maxCarriers = 3
	maxRefusals = 12
	// carriersAtOnce is how many are asked at once to reach a runner in a check.
	carriersAtOnce = 2
	// afterCut is how long an instance counts as cut off after it no longer is, as failures
	// of connections from before are still found.
	afterCut = time.Second
)

// How long an instance isn't asked again that is cut off or can't be reached, that has no
// room, and that doesn't open connections for others.
const (
	avoidUnable  = 2 * time.Second
	avoidFull    = 200 * time.Millisecond
	avoidUnknown = 5 * time.Second
)

// Option changes a default of a dialer.
type Option func(*dialer)

// WithDetours sets whether connections are opened through other instances. The default is
// true. Otherwise the dialer only finds out whether the instance is cut off.
func WithDetours(on bool) Option { return func(d *dialer) { d.detours = on } }

// New returns a dialer of the instance self.
func New(clk clock.Clock, self inventory.Instance, current *inventory.Current, direct Direct, tunnels Tunnels, numbers random.Source, log hclog.Logger, opts ...Option) Dialer {
	d := &dialer{
		clk: clk, self: self, current: current, direct: direct, tunnels: tunnels, detours: true, random: numbers, log: log, start: clk.Now(),
		lost: make(chan struct{}), carriers: make(map[string]*carrier), watches: make(map[*func()]struct{}),
	}
	for _, opt := range opts {
		opt(d)
	}
	return d
}

type dialer struct {
	clk     clock.Clock
	self    inventory.Instance
	current *inventory.Current
	direct  Direct
	tunnels Tunnels
	// detours is whether connections are opened through other instances.
	detours bool
	random  random.Source
	log     hclog.Logger
	// start is just before the time that elapsed counts from.
	start time.Time
	// group tracks the connections being opened and the checks.
	group   sync.WaitGroup
	checks  singleflight.Group
	silence silence
	leaving atomic.Bool
	// cutOff mirrors judge.cutOff, and cuts counts the cuts.
	cutOff atomic.Bool
	cuts   atomic.Int64
	// unreached is set while neither this instance nor those that it asked reach a runner,
	// whether runners or paths are lost. It is never set together with cutOff.
	unreached atomic.Bool
	// lastOpened is when a direct connection was last opened.
	lastOpened atomic.Int64

	checkCount, throughCount, failedCount, othersCount atomic.Int64

	mu    sync.Mutex
	judge judge
	// lost is closed while the instance is cut off, and while unreached is set.
	lost   chan struct{}
	isLost bool
	// checkedAt is when the last check, or the last cut, ended.
	checkedAt time.Time
	// nextProbe is when a runner is probed next while the instance is cut off.
	nextProbe time.Time
	// unreachableUntil is until when no other instance is asked, since none reached the
	// runners.
	unreachableUntil time.Time
	carriers         map[string]*carrier
	// watches has the functions to call when the instance is cut off.
	watches map[*func()]struct{}
}

// elapsed returns the time since the start, which is never zero.
func (d *dialer) elapsed() time.Duration { return d.clk.Now().Sub(d.start) + 1 }

func (d *dialer) CutOff() bool {
	if d.cuts.Load() == 0 {
		return false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.judge.cutOff || d.clk.Now().Sub(d.judge.since) < afterCut
}

func (d *dialer) Reachable() bool {
	switch {
	case !d.detours:
		return true
	case !d.cutOff.Load():
		return !d.unreached.Load()
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return !d.clk.Now().Before(d.unreachableUntil)
}

func (d *dialer) Watch(lost func()) (stop func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.watches[&lost] = struct{}{}
	return func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		delete(d.watches, &lost)
	}
}

func (d *dialer) Leave() { d.leaving.Store(true) }

func (d *dialer) Stats() Stats {
	return Stats{
		CutOff: d.cutOff.Load(), Cuts: d.cuts.Load(), Checks: d.checkCount.Load(),
		Through: d.throughCount.Load(), Failed: d.failedCount.Load(), ForOthers: d.othersCount.Load(),
	}
}

func (d *dialer) Run(ctx context.Context) error {
	for d.clk.Sleep(ctx, tick) == nil {
		switch {
		case d.cutOff.Load():
			d.probeReturn(ctx)
		case d.unreached.Load():
			d.suspect(ctx, "", returnInterval)
		case d.silence.lasts(d.elapsed()) > silenceAfter:
			if d.suspect(ctx, "", silentCheckInterval) {
				continue
			}
			d.silence.heard()
		}
	}
	return nil
}

// dialed is the result of opening a connection.
type dialed struct {
	conn net.Conn
	err  error
}

func (d *dialer) Dial(ctx context.Context, address string) (net.Conn, error) {
	if !d.detours {
		return d.dialDirect(ctx, address)
	}
	lost := d.lostSignal()
	if d.cutOff.Load() || d.unreached.Load() {
		return d.dialThrough(ctx, address)
	}
	dialing, cancel := context.WithCancel(ctx)
	defer cancel()
	result := make(chan dialed, 1)
	d.group.Go(func() {
		conn, err := d.direct(dialing, address)
		result <- dialed{conn, err}
	})
	late := d.clk.After(lateAfter)
	for {
		select {
		case r := <-result:
			if r.err == nil {
				return d.opened(r.conn), nil
			}
			if ctx.Err() == nil && d.suspect(ctx, address, checkInterval) {
				return d.dialThrough(ctx, address)
			}
			return nil, r.err
		case <-late:
			d.group.Go(func() { d.suspect(context.WithoutCancel(ctx), address, checkInterval) })
		case <-lost:
			d.abandon(cancel, result)
			return d.dialThrough(ctx, address)
		case <-ctx.Done():
			d.abandon(cancel, result)
			return nil, context.Cause(ctx)
		}
	}
}

// dialDirect opens a connection without a detour, and only looks into failures.
func (d *dialer) dialDirect(ctx context.Context, address string) (net.Conn, error) {
	nc, err := d.direct(ctx, address)
	if err != nil {
		d.group.Go(func() { d.suspect(context.WithoutCancel(ctx), address, checkInterval) })
		return nil, err
	}
	return d.opened(nc), nil
}

// abandon closes a connection that is still being opened.
func (d *dialer) abandon(cancel context.CancelFunc, result <-chan dialed) {
	cancel()
	d.group.Go(func() {
		if r := <-result; r.err == nil {
			_ = r.conn.Close()
		}
	})
}

// opened returns a direct connection to use.
func (d *dialer) opened(nc net.Conn) net.Conn {
	d.lastOpened.Store(int64(d.elapsed()))
	return d.wrap(nc, "", func() {})
}

// signalLost applies whether the instance reaches no runner. The caller holds mu.
func (d *dialer) signalLost(lost bool) {
	switch {
	case lost && !d.isLost:
		close(d.lost)
	case !lost && d.isLost:
		d.lost = make(chan struct{})
	}
	d.isLost = lost
}

// lostSignal returns a channel that is closed while the instance reaches no runner.
func (d *dialer) lostSignal() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.lost
}

func (d *dialer) Open(ctx context.Context, from, address string) (net.Conn, error) {
	switch {
	case d.leaving.Load():
		return nil, fault.New(fault.HomeUnsettled, "this instance is leaving")
	case d.cutOff.Load() || d.unreached.Load():
		return nil, fault.New(fault.NotReady, "this instance is cut off from the runners")
	case !d.isRunner(address):
		return nil, fault.New(fault.BadRequest, "no runner has this address").WithField("address")
	}
	nc, err := d.direct(ctx, address)
	if err != nil {
		d.group.Go(func() { d.suspect(context.WithoutCancel(ctx), address, checkInterval) })
		return nil, fault.Wrap(fault.NoRunner, err, "connect to a runner for instance %q", from).WithOutcome(fault.NotRun)
	}
	d.lastOpened.Store(int64(d.elapsed()))
	d.othersCount.Add(1)
	return nc, nil
}

// isRunner reports whether an address is that of a runner.
func (d *dialer) isRunner(address string) bool {
	for _, r := range d.current.Load().Runners {
		if r.Address == address {
			return true
		}
	}
	return false
}

// runners returns the addresses that are probed: those of runners that accept calls.
func (d *dialer) runners() []*inventory.Runner {
	s := d.current.Load()
	var usable []*inventory.Runner
	for _, r := range s.Runners {
		if !r.Draining && !s.ZonesOut[r.Zone] {
			usable = append(usable, r)
		}
	}
	slices.SortFunc(usable, func(a, b *inventory.Runner) int { return strings.Compare(a.ID, b.ID) })
	return usable
}
