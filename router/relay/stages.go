package relay

import (
	"context"
	"slices"
	"sync"
	"time"

	"cicadawell.dev/fleet/fault"
	"cicadawell.dev/router/placement"
	"cicadawell.dev/router/routing"
	"cicadawell.dev/router/shard"
	"cicadawell.dev/router/stage"
	"golang.org/x/sync/errgroup"
)

// results has the results of a call's stages, with reference counts. The runners
// that made the results store them until they are freed.
type results struct {
	pieces stage.Maker
	route  *routing.Route
	mu     sync.Mutex
	// byStage has the results of each completed stage.
	byStage [][]stage.Result
	// refs counts, for each stage, the later stages and the call itself that have
	// yet to use its results.
	refs []int
	// shards has the shard that made the results of each completed stage.
	shards []shard.Shard
	// counts has the number of results that were made in each stage, freed or not.
	counts []int
	// lifetimes has how long the results of each completed stage are kept.
	lifetimes []lifetime
	// holds has, for each completed stage, what records that its results are no longer
	// needed at their runners.
	holds [][]func()
}

// lifetime is when results expire at the runners that made them, which is known as
// closely as when they were made. Both are zero for results that don't expire.
type lifetime struct{ earliest, latest time.Time }

// newResults returns empty results with the reference count of each stage.
func (x *relay) newResults(p *callPlan) *results {
	n := len(p.route.Stages)
	res := &results{pieces: x.Pieces, route: p.route, byStage: make([][]stage.Result, n), refs: make([]int, n), shards: make([]shard.Shard, n), counts: make([]int, n), lifetimes: make([]lifetime, n), holds: make([][]func(), n)}
	for _, s := range p.route.Stages {
		for _, a := range s.After {
			res.refs[a]++
		}
	}
	for _, f := range p.route.FinalStages() {
		res.refs[f]++
	}
	return res
}

// preferredZone returns the zone in which the stage results should be made, or ""
// for any zone.
func (x *relay) preferredZone(p *callPlan) string {
	if p.zone != "" {
		return p.zone
	}
	if !x.Policy.ResultZoneAffinity {
		return ""
	}
	if zone := x.Engines.Home(p.ctx, x.placementRequest(p)); zone != "" {
		return zone
	}
	return x.Zone
}

// chooseZone chooses the zone of the shards that run the stages and the call.
func (x *relay) chooseZone(p *callPlan, refused map[string]bool) string {
	key := p.call.Prompt.SharedKey()
	if key == "" {
		key = p.call.ID
	}
	c := shard.Choice{Key: key, MoveCost: placement.SharedPartsTime(p.call.Prompt), Excluded: refused}
	for i, s := range p.route.Stages {
		if p.call.Pieces[i] > 0 {
			c.Services = append(c.Services, s.Service)
		}
	}
	c.Services = append(c.Services, p.service)
	return x.Shards.Choose(c)
}

// shardOf returns the shard of a service that runs a part of the call.
func (x *relay) shardOf(p *callPlan, service string) shard.Shard {
	return x.Shards.Layout().Of(service, p.zone)
}

// runStages runs the stages of a call and makes all their pieces. The caller must
// release the results, also after an error.
func (x *relay) runStages(p *callPlan) (*results, error) {
	res := x.newResults(p)
	n := len(p.route.Stages)
	if n == 0 {
		p.zone = x.chooseZone(p, nil)
		return res, nil
	}
	if len(p.call.Pieces) != n {
		return res, fault.New(fault.BadRequest, "found %d counts of pieces, the route has %d stages", len(p.call.Pieces), n).WithField("pieces")
	}
	if err := x.reserve(p); err != nil {
		return res, err
	}
	home := x.preferredZone(p)
	group, ctx := errgroup.WithContext(p.ctx)
	done := make([]chan struct{}, n)
	for i := range done {
		done[i] = make(chan struct{})
	}
	for i := range n {
		group.Go(func() error {
			if err := x.awaitInputs(ctx, p, i, done); err != nil {
				return err
			}
			if err := x.runStage(ctx, p, res, i, home); err != nil {
				return err
			}
			close(done[i])
			return nil
		})
	}
	err := group.Wait()
	if err != nil {
		x.cancelReservations(p)
	}
	if err != nil && p.ctx.Err() != nil {
		err = x.contextFault(p, fault.NotRun)
	}
	return res, err
}

// awaitInputs waits until the stages that a stage depends on are complete.
func (x *relay) awaitInputs(ctx context.Context, p *callPlan, i int, done []chan struct{}) error {
	for _, a := range p.route.Stages[i].After {
		select {
		case <-done[a]:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return x.delayShortStage(ctx, p, i)
}

// delayShortStage delays a stage without inputs by as much as its critical path is
// shorter than the longest one. Its results would only occupy memory at the runner
// until the stages that take longer are complete.
func (x *relay) delayShortStage(ctx context.Context, p *callPlan, i int) error {
	if len(p.route.Stages[i].After) > 0 || p.call.Pieces[i] == 0 {
		return nil
	}
	longest := time.Duration(0)
	for j, s := range p.route.Stages {
		if len(s.After) == 0 && p.call.Pieces[j] > 0 {
			longest = max(longest, x.criticalPath(p, j))
		}
	}
	return x.Clock.Sleep(ctx, longest-x.criticalPath(p, i))
}

// criticalPath returns the time from the start of a stage to the first event of
// the answer, without queueing.
func (x *relay) criticalPath(p *callPlan, i int) time.Duration {
	return x.stageTime(p, i) + x.timeAfter(p, i)
}

// stageTime returns how long a stage takes without queueing.
func (x *relay) stageTime(p *callPlan, i int) time.Duration {
	svc := x.Current.Load().Table.Service(p.route.Stages[i].Service)
	if svc == nil || svc.Batches == nil || p.call.Pieces[i] == 0 {
		return 0
	}
	return svc.Batches.CallTime + time.Duration(min(p.call.Pieces[i], svc.Batches.MaxPieces))*svc.Batches.PieceTime
}

// runStage makes the pieces of one stage. zone is the preferred zone; it only
// decides between otherwise equal choices.
func (x *relay) runStage(ctx context.Context, p *callPlan, res *results, i int, zone string) error {
	spec := p.route.Stages[i]
	if pieces := p.call.Pieces[i]; pieces > 0 {
		start := x.Clock.Now()
		o := stage.Order{
			ID: orderID(p, i), Shard: x.shardOf(p, spec.Service), Pieces: pieces, Call: p.call.ID, Stage: i, Zone: zone, ResultBytes: spec.ResultBytes,
			Deadline: p.stagesDeadline, Due: p.call.Arrived.Add(p.route.Objective), Rank: p.priority, MinRemaining: x.timeAfter(p, i),
		}
		if len(spec.After) == 0 {
			o.Key = p.call.PieceKey
		} else {
			o.Inputs = res.handles(spec.After)
		}
		made := x.Pieces.Make(ctx, o)
		res.set(i, o.Shard, made, x.lifetime(spec.Service, start), x.hold(made))
		x.Meter.StageEnded(spec.Service, string(firstFailure(made)), x.Clock.Now().Sub(start))
		x.Log.Info("stage made", "request", p.call.ID, "route", p.route.Name, "stage", i, "service", spec.Service, "pieces", pieces, "shardZone", o.Shard.Zone,
			"tookMillis", x.Clock.Now().Sub(start).Milliseconds(), "sinceMillis", x.Clock.Now().Sub(p.call.Arrived).Milliseconds())
		if f := firstFailure(made); f != "" {
			x.Log.Warn("stage failed", "request", p.call.ID, "stage", i, "service", spec.Service, "failure", f)
			return stageError(f, i)
		}
	}
	for _, a := range spec.After {
		res.unref(a)
	}
	return nil
}

// firstFailure returns the first failure among the results, or "".
func firstFailure(made []stage.Result) stage.Failure {
	for _, r := range made {
		if r.Failure != "" {
			return r.Failure
		}
	}
	return ""
}

// timeAfter returns the minimum time from the end of a stage to the first event of
// the answer.
func (x *relay) timeAfter(p *callPlan, i int) time.Duration {
	longest := placement.FirstEventTime(p.call.Prompt)
	for j := i + 1; j < len(p.route.Stages); j++ {
		if !slices.Contains(p.route.Stages[j].After, i) || p.call.Pieces[j] == 0 {
			continue
		}
		longest = max(longest, x.stageTime(p, j)+x.timeAfter(p, j))
	}
	return longest
}

// stageError returns the error of a call whose stage i failed. The call itself
// hasn't run then.
func stageError(f stage.Failure, i int) error {
	if f == stage.Late {
		return fault.New(fault.DeadlineTooShort, "stage %d can't be made in time", i)
	}
	return fault.New(fault.Overloaded, "stage %d: %s", i, f)
}

// lifetime returns the lifetime of results that a service was asked for at a time and
// has just made.
func (x *relay) lifetime(service string, ordered time.Time) lifetime {
	svc := x.Current.Load().Table.Service(service)
	if svc == nil || svc.Batches == nil || svc.Batches.KeepFor <= 0 {
		return lifetime{}
	}
	return lifetime{earliest: ordered.Add(svc.Batches.KeepFor), latest: x.Clock.Now().Add(svc.Batches.KeepFor)}
}

// hold records that results are needed at the runners that made them. It returns what
// records the end of that.
func (x *relay) hold(made []stage.Result) []func() {
	byRunner := make(map[string]int)
	for _, m := range made {
		if m.Handle != "" {
			byRunner[m.Runner]++
		}
	}
	var holds []func()
	for id, n := range byRunner {
		if t := x.Targets.Find(id); t != nil {
			if released := t.Hold(n); released != nil {
				holds = append(holds, released)
			}
		}
	}
	return holds
}

func (r *results) set(i int, by shard.Shard, made []stage.Result, l lifetime, holds []func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.byStage[i], r.shards[i], r.counts[i], r.lifetimes[i], r.holds[i] = made, by, len(made), l, holds
}

// free frees the results of a stage. The caller holds mu.
func (r *results) free(i int) {
	r.pieces.Free(r.shards[i], r.byStage[i])
	r.byStage[i] = nil
	for _, released := range r.holds[i] {
		released()
	}
	r.holds[i] = nil
}

// availability is whether the results for the call's runner still exist.
type availability int

const (
	// gone results were freed or have expired.
	gone availability = iota
	// doubtful results may have expired.
	doubtful
	available
)

// inputs returns the availability of the results of the final stages.
func (r *results) inputs(now time.Time) availability {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := available
	for _, f := range r.route.FinalStages() {
		l := r.lifetimes[f]
		switch {
		case len(r.byStage[f]) < r.counts[f]:
			return gone
		case l.latest.IsZero():
		case now.After(l.latest):
			return gone
		case now.After(l.earliest):
			out = doubtful
		}
	}
	return out
}

// handles returns the handles of all results of the given stages.
func (r *results) handles(stages []int) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []string
	for _, i := range stages {
		for _, made := range r.byStage[i] {
			out = append(out, made.Handle)
		}
	}
	return out
}

// runnerIDs returns the runners that made the results of the given stages.
func (r *results) runnerIDs(stages []int) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []string
	for _, i := range stages {
		for _, made := range r.byStage[i] {
			out = append(out, made.Runner)
		}
	}
	return out
}

// bytes returns the approximate size of the results of the final stages, which the
// call's runner fetches.
func (r *results) bytes() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	var sum int64
	for _, i := range r.route.FinalStages() {
		sum += int64(len(r.byStage[i])) * r.route.Stages[i].ResultBytes
	}
	return sum
}

// unref drops one reference to the results of a stage, and frees them after the
// last one.
func (r *results) unref(i int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refs[i]--
	if r.refs[i] == 0 {
		r.free(i)
	}
}

// release frees all results that are still held.
func (r *results) release() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := range r.byStage {
		r.free(i)
	}
}
