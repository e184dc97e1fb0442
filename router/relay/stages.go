package relay

import (
	"context"
	"slices"
	"sync"
	"time"

	"cicadawell.dev/fleet/fault"
	"cicadawell.dev/router/placement"
	"cicadawell.dev/router/routing"
	"cicadawell.dev/router/stage"
	"golang.org/x/sync/errgroup"
)

// results are those of a call's stages, which are kept at their makers until
// they are given up.
type results struct {
	pieces stage.Maker
	route  *routing.Route
	mu     sync.Mutex
	// byStage has the results of each stage that is done.
	byStage [][]stage.Result
	// users counts, for each stage, the stages and the call that still take its
	// results.
	users []int
}

// newResults counts who takes the results of each stage.
func (x *relay) newResults(p *plan) *results {
	n := len(p.route.Stages)
	res := &results{pieces: x.Pieces, route: p.route, byStage: make([][]stage.Result, n), users: make([]int, n)}
	for _, s := range p.route.Stages {
		for _, a := range s.After {
			res.users[a]++
		}
	}
	for _, f := range p.route.Final() {
		res.users[f]++
	}
	return res
}

// home returns the zone in which the results of a call are wanted, or "".
func (x *relay) home(p *plan) string {
	if !x.Policy.ResultZones {
		return ""
	}
	if zone := x.Engines.Home(p.ctx, x.placing(p)); zone != "" {
		return zone
	}
	return x.Zone
}

// stages makes all pieces that a call needs. The caller gives the results up.
func (x *relay) stages(p *plan) (*results, error) {
	res := x.newResults(p)
	n := len(p.route.Stages)
	if n == 0 {
		return res, nil
	}
	if len(p.call.Pieces) != n {
		return res, fault.New(fault.BadRequest, "found %d counts of pieces, the route has %d stages", len(p.call.Pieces), n).WithField("pieces")
	}
	home := x.home(p)
	if err := x.reserve(p); err != nil {
		return res, err
	}
	group, ctx := errgroup.WithContext(p.ctx)
	done := make([]chan struct{}, n)
	for i := range done {
		done[i] = make(chan struct{})
	}
	for i := range n {
		group.Go(func() error {
			if err := x.await(ctx, p, i, done); err != nil {
				return err
			}
			if err := x.makeStage(ctx, p, res, i, home); err != nil {
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
		err = x.ended(p, fault.NotRun)
	}
	return res, err
}

// await waits until a stage can begin.
func (x *relay) await(ctx context.Context, p *plan, i int, done []chan struct{}) error {
	for _, a := range p.route.Stages[i].After {
		select {
		case <-done[a]:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return x.awaitTurn(ctx, p, i)
}

// awaitTurn holds a stage back that takes less time than those beside it. Its
// results would only take room at their maker meanwhile.
func (x *relay) awaitTurn(ctx context.Context, p *plan, i int) error {
	if len(p.route.Stages[i].After) > 0 || p.call.Pieces[i] == 0 {
		return nil
	}
	longest := time.Duration(0)
	for j, s := range p.route.Stages {
		if len(s.After) == 0 && p.call.Pieces[j] > 0 {
			longest = max(longest, x.pathFrom(p, j))
		}
	}
	return x.Clock.Sleep(ctx, longest-x.pathFrom(p, i))
}

// pathFrom returns how long a stage and those after it take if nothing waits.
func (x *relay) pathFrom(p *plan, i int) time.Duration {
	return x.stageTime(p, i) + x.restOf(p, i)
}

// stageTime returns how long a stage takes if nothing waits.
func (x *relay) stageTime(p *plan, i int) time.Duration {
	svc := x.Current.Load().Table.Service(p.route.Stages[i].Service)
	if svc == nil || svc.Batches == nil || p.call.Pieces[i] == 0 {
		return 0
	}
	return svc.Batches.CallTime + time.Duration(min(p.call.Pieces[i], svc.Batches.MaxPieces))*svc.Batches.PieceTime
}

// makeStage makes the pieces of one stage, in a zone if that makes no
// difference otherwise.
func (x *relay) makeStage(ctx context.Context, p *plan, res *results, i int, zone string) error {
	spec := p.route.Stages[i]
	pieces := make([]stage.Piece, p.call.Pieces[i])
	for n := range pieces {
		pieces[n] = stage.Piece{Call: p.call.ID, Stage: i, Index: n}
		if len(spec.After) == 0 {
			pieces[n].Key = p.call.PieceKey
		} else {
			pieces[n].Inputs = res.handles(spec.After)
		}
	}
	if len(pieces) > 0 {
		start := x.Clock.Now()
		made := x.Pieces.Make(ctx, stage.Order{
			ID: orderID(p, i), Service: spec.Service, Pieces: pieces, Zone: zone, ResultBytes: spec.ResultBytes,
			Until: p.until, Due: p.call.Arrived.Add(p.route.Objective), Rank: p.priority, After: x.restOf(p, i),
		})
		res.set(i, made)
		x.Meter.Staged(spec.Service, string(failureIn(made)), x.Clock.Now().Sub(start))
		x.Log.Info("stage made", "request", p.call.ID, "route", p.route.Name, "stage", i, "service", spec.Service, "pieces", len(pieces),
			"tookMillis", x.Clock.Now().Sub(start).Milliseconds(), "sinceMillis", x.Clock.Now().Sub(p.call.Arrived).Milliseconds())
		if f := failureIn(made); f != "" {
			x.Log.Warn("stage failed", "request", p.call.ID, "stage", i, "service", spec.Service, "failure", f)
			return failureOf(f, i)
		}
	}
	for _, a := range spec.After {
		res.used(a)
	}
	return nil
}

// failureIn returns the first failure, or "".
func failureIn(made []stage.Result) stage.Failure {
	for _, r := range made {
		if r.Failure != "" {
			return r.Failure
		}
	}
	return ""
}

// restOf returns the least time that a call needs after a stage.
func (x *relay) restOf(p *plan, i int) time.Duration {
	longest := placement.FirstEvent(p.call.Prompt)
	for j := i + 1; j < len(p.route.Stages); j++ {
		if !slices.Contains(p.route.Stages[j].After, i) || p.call.Pieces[j] == 0 {
			continue
		}
		longest = max(longest, x.stageTime(p, j)+x.restOf(p, j))
	}
	return longest
}

// failureOf returns the error of a call whose piece failed. The call itself
// hasn't run then.
func failureOf(f stage.Failure, i int) error {
	switch f {
	case stage.Late:
		return fault.New(fault.DeadlineShort, "stage %d can't be made in time", i)
	case stage.Abandoned:
		return fault.New(fault.CallerGone, "the caller left during stage %d", i).WithOutcome(fault.NotRun)
	}
	return fault.New(fault.Overloaded, "stage %d: %s", i, f)
}

func (r *results) set(i int, made []stage.Result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.byStage[i] = made
}

// handles returns the handles of all results of these stages.
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

// makers returns the runners that made the results of these stages.
func (r *results) makers(stages []int) []string {
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

// bytes returns about how long the results are that the call's runner fetches.
func (r *results) bytes() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	var sum int64
	for _, i := range r.route.Final() {
		sum += int64(len(r.byStage[i])) * r.route.Stages[i].ResultBytes
	}
	return sum
}

// used notes that one user of a stage's results has taken them, and gives them
// up after the last one.
func (r *results) used(i int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.users[i]--
	if r.users[i] == 0 {
		r.pieces.Free(r.route.Stages[i].Service, r.byStage[i])
		r.byStage[i] = nil
	}
}

// release gives all results up.
func (r *results) release() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := range r.byStage {
		r.pieces.Free(r.route.Stages[i].Service, r.byStage[i])
		r.byStage[i] = nil
	}
}
