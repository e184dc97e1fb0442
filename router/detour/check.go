package detour

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"cicadawell.dev/fleet/fault"
	"cicadawell.dev/router/inventory"
)

// suspect finds out whether the instance is cut off, and reports that. address is that of a
// runner that couldn't be reached, or "". It doesn't look into it again within interval.
func (d *dialer) suspect(ctx context.Context, address string, interval time.Duration) bool {
	if d.cutOff.Load() {
		return true
	}
	if at := d.lastOpened.Load(); at != 0 && d.elapsed()-time.Duration(at) < recentlyOpened {
		return false
	}
	result := d.checks.DoChan("", func() (any, error) {
		d.mu.Lock()
		recent := !d.checkedAt.IsZero() && d.clk.Now().Sub(d.checkedAt) < interval
		d.mu.Unlock()
		return !recent && d.check(context.WithoutCancel(ctx), address), nil
	})
	select {
	case r := <-result:
		cutOff, _ := r.Val.(bool)
		return cutOff
	case <-ctx.Done():
		return false
	}
}

// check dials some runners, and has others dial them if it reaches none.
func (d *dialer) check(ctx context.Context, address string) bool {
	d.checkCount.Add(1)
	runners := d.runners()
	others := slices.DeleteFunc(slices.Clone(runners), func(r *inventory.Runner) bool { return r.Address == address })
	if len(others) == 0 {
		others = runners
	}
	shuffled := sampleRunners(others, sampleSize+confirmationSize, d.random)
	sample, rest := shuffled[:min(sampleSize, len(shuffled))], shuffled[min(sampleSize, len(shuffled)):]
	start := d.clk.Now()
	if d.reachesAny(ctx, sample) {
		d.conclude(sound)
		return false
	}
	// Further runners are dialed meanwhile, since it takes time to find that others reach none.
	confirmed := make(chan bool, 1)
	d.group.Go(func() { confirmed <- len(rest) > 0 && d.reachesAny(ctx, rest) })
	outcomes := d.askAboutAll(ctx, sample)
	more := sync.OnceValue(func() bool { return <-confirmed })
	if countThrough(outcomes) < min(enoughReached, len(sample)) {
		more()
	}
	d.mu.Lock()
	v := d.judge.checked(d.clk.Now(), outcomes, more)
	d.mu.Unlock()
	d.log.Warn("no runner of a sample was reached", "cutOff", v == cutOff, "sample", len(sample), "throughOthers", countThrough(outcomes),
		"nobodyReaches", v == nobodyReaches, "tookMillis", d.clk.Now().Sub(start).Milliseconds())
	d.conclude(v)
	return v == cutOff
}

// conclude applies the verdict of a check.
func (d *dialer) conclude(v verdict) {
	for _, lost := range d.apply(v) {
		(*lost)()
	}
}

// apply is conclude without the functions to call, which it returns.
func (d *dialer) apply(v verdict) []*func() {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clk.Now()
	d.checkedAt = now
	d.unreached.Store(v == nobodyReaches)
	if v == cutOff {
		d.cuts.Add(1)
		d.cutOff.Store(true)
	}
	d.signalLost(v != sound)
	if v != cutOff {
		return nil
	}
	d.nextProbe = now.Add(returnInterval)
	return slices.Collect(maps.Keys(d.watches))
}

func countThrough(outcomes []outcome) int {
	n := 0
	for _, o := range outcomes {
		if o.through {
			n++
		}
	}
	return n
}

// reachesAny reports whether one of the runners accepts a connection of this instance. The
// first one is dialed alone, as that is enough in most cases.
func (d *dialer) reachesAny(ctx context.Context, sample []*inventory.Runner) bool {
	if len(sample) == 0 {
		return true // nothing is known of runners
	}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout+firstProbeTime)
	defer cancel()
	results := make(chan bool, len(sample))
	probe := func(r *inventory.Runner) { d.group.Go(func() { results <- d.reaches(ctx, r.Address) }) }
	probe(sample[0])
	pending := 1
	select {
	case reached := <-results:
		if reached {
			return true
		}
		pending--
	case <-d.clk.After(firstProbeTime):
	}
	for _, r := range sample[1:] {
		probe(r)
		pending++
	}
	for range pending {
		if <-results {
			return true
		}
	}
	return false
}

// reaches reports whether a runner accepts a connection of this instance in time.
func (d *dialer) reaches(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	nc, err := d.direct(ctx, address)
	if err != nil {
		return false
	}
	_ = nc.Close()
	return true
}

// askOthers returns whether other instances reach a runner. Several are asked at once, since
// one that is cut off may not know it yet, and a further one for each that refuses.
func (d *dialer) askOthers(ctx context.Context, address string) outcome {
	tried := make(map[string]bool)
	answers := make(chan error, carriersAtOnce+maxRefusals)
	ask := func() int {
		name := d.takeCarrier("", tried)
		if name == "" {
			return 0
		}
		d.group.Go(func() {
			nc, err := d.tunnel(ctx, name, address)
			if err == nil {
				_ = nc.Close()
			} else if isRunnersFault(err) {
				d.avoid(name, avoidFull) // it may be cut off and not know it
			}
			answers <- err
		})
		return 1
	}
	pending := 0
	for range carriersAtOnce {
		pending += ask()
	}
	o := outcome{allCutOff: pending > 0}
	for refusals := 0; pending > 0; pending-- {
		err := <-answers
		if err == nil {
			return outcome{through: true}
		}
		if refusedAtOnce(err) && refusals < maxRefusals {
			refusals++
			pending += ask()
		}
		o.allCutOff = o.allCutOff && fault.Is(err, fault.NotReady)
	}
	return o
}

// askAboutAll has others reach the runners, until it is clear that they do.
func (d *dialer) askAboutAll(ctx context.Context, sample []*inventory.Runner) []outcome {
	answers := make(chan outcome, len(sample))
	for _, r := range sample {
		d.group.Go(func() { answers <- d.askOthers(ctx, r.Address) })
	}
	var outcomes []outcome
	for range sample {
		outcomes = append(outcomes, <-answers)
		if countThrough(outcomes) >= enoughReached {
			break
		}
	}
	return outcomes
}

// probeReturn probes some runners while the instance is cut off. One that is reached is
// enough, as others may be down.
func (d *dialer) probeReturn(ctx context.Context) {
	d.mu.Lock()
	due := !d.clk.Now().Before(d.nextProbe)
	d.mu.Unlock()
	sample := sampleRunners(d.runners(), returnSampleSize, d.random)
	if !due || len(sample) == 0 {
		return
	}
	reached := d.reachesAny(ctx, sample)
	d.mu.Lock()
	defer d.mu.Unlock()
	now, since := d.clk.Now(), d.judge.since
	d.nextProbe = now.Add(returnInterval)
	if !d.judge.probed(now, reached) {
		return
	}
	d.cutOff.Store(false)
	d.signalLost(false)
	d.checkedAt = now
	d.silence.heard()
	d.log.Info("no longer cut off from the runners", "afterMillis", now.Sub(since).Milliseconds(), "through", d.throughCount.Load())
}
