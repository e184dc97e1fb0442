package pool

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"cicadawell.dev/fleet/bundle"
	"cicadawell.dev/fleet/clock"
	"cicadawell.dev/fleet/runnerapi"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// fleet models several instances that share one runner. Each instance may be at
// a different step of the change from one view to the next.
type fleet struct {
	clk       *clock.Manual
	runner    bundle.Runner
	instances []*instance
	// view is the effective view; announced is the next one, or nil.
	view, announced []string
	version         int
	cold            bool
	inFlight        []attempt
	history         []observation
}

// instance is the pools of one instance and what the test knows of its state.
type instance struct {
	id string
	p  *pools
	// viewValidUntil is when its view expires.
	viewValidUntil time.Time
	// sawAnnounced is set once the instance has received the announced view.
	sawAnnounced bool
	// viewVersion is the version of the effective view at its last update.
	viewVersion int
	// topo is the last topology that was passed to Update.
	topo Topology
	// coldSignAt and warmEvidenceAt are the times of origin of the newest sign
	// of a cold start and the newest evidence of a warm runner that reached the
	// instance.
	coldSignAt, warmEvidenceAt time.Time
}

// recordReport records a load report that was made at the given time.
func (m *instance) recordReport(load runnerapi.Load, at time.Time) {
	if load.Cold && at.After(m.coldSignAt) {
		m.coldSignAt = at
	}
	if !load.Cold && at.After(m.warmEvidenceAt) {
		m.warmEvidenceAt = at
	}
}

// considersCold reports whether the instance is limited to its share of the
// cold slots.
func (m *instance) considersCold() bool { return !m.warmEvidenceAt.After(m.coldSignAt) }

// attempt is an attempt in flight.
type attempt struct {
	pl     *slot
	sender *instance
	sentAt time.Time
	// knownCold is set if the sender considered the runner cold.
	knownCold bool
}

// observation is the load of the runner at a point in time.
type observation struct {
	at   time.Time
	load runnerapi.Load
}

const maxAttemptDuration = time.Second

func newFleet(t *rapid.T) *fleet {
	slots := rapid.IntRange(1, 12).Draw(t, "slots")
	f := &fleet{
		clk: clock.NewManual(start), cold: true,
		runner: bundle.Runner{
			ID: "r", Zone: "z", Service: "s", Slots: slots,
			ColdSlots: rapid.IntRange(1, slots).Draw(t, "coldSlots"), ReportsLoad: true,
		},
	}
	for i := range rapid.IntRange(2, 6).Draw(t, "instances") {
		id := fmt.Sprintf("i%d", i)
		m := &instance{id: id, p: New(f.clk).(*pools)}
		f.instances = append(f.instances, m)
		if i > 0 {
			f.view = append(f.view, id)
		}
	}
	for _, m := range f.instances {
		f.updateView(m, f.view, true)
	}
	return f
}

const viewTTL = 700 * time.Millisecond

// updateView updates the view of an instance and extends its validity.
func (f *fleet) updateView(m *instance, view []string, effective bool) {
	m.topo = Topology{
		Runners: []bundle.Runner{f.runner}, Zone: "z", Self: m.id,
		Instances: view, ViewEffective: effective, AttemptTimeout: maxAttemptDuration,
	}
	m.p.Update(m.topo)
	m.viewVersion = f.version
	m.viewValidUntil = f.clk.Now().Add(viewTTL)
	m.p.ExtendView(m.viewValidUntil)
}

// any returns a random instance.
func (f *fleet) any(t *rapid.T) *instance {
	return rapid.SampledFrom(f.instances).Draw(t, "instance")
}

func (f *fleet) announce(t *rapid.T) {
	if f.announced != nil {
		return
	}
	id := f.any(t).id
	next := slices.DeleteFunc(slices.Clone(f.view), func(x string) bool { return x == id })
	if len(next) == len(f.view) {
		next = append(next, id)
		slices.Sort(next)
	}
	if len(next) > 0 {
		f.announced = next
	}
}

// deliverAnnounced delivers the announced view to an instance.
func (f *fleet) deliverAnnounced(t *rapid.T) {
	if m := f.any(t); f.announced != nil {
		m.sawAnnounced = true
		f.updateView(m, f.announced, false)
	}
}

// unsettle marks the view of an instance as about to change, without the next
// view.
func (f *fleet) unsettle(t *rapid.T) {
	if m := f.any(t); !m.sawAnnounced {
		f.updateView(m, f.view, false)
	}
}

// renewView delivers the effective view to an instance that has not received
// the announced one.
func (f *fleet) renewView(t *rapid.T) {
	if m := f.any(t); !m.sawAnnounced {
		f.updateView(m, f.view, true)
	}
}

// commitAnnounced makes the announced view effective once the view of every
// instance that has not received it has expired.
func (f *fleet) commitAnnounced(*rapid.T) {
	if f.announced == nil {
		return
	}
	for _, m := range f.instances {
		if !m.sawAnnounced && f.clk.Now().Before(m.viewValidUntil) {
			return
		}
	}
	f.view, f.announced = f.announced, nil
	f.version++
	for _, m := range f.instances {
		m.sawAnnounced = false
	}
}

func (f *fleet) request(t *rapid.T) {
	f.send(f.any(t))
}

// send starts an attempt if the instance has a slot for it, and reports whether
// it did.
func (f *fleet) send(m *instance) bool {
	req := Request{Service: "s", Team: "t", Paying: true, Deadline: f.clk.Now().Add(maxAttemptDuration)}
	now := m.p.now()
	pl, err := m.p.acquireNow(m.p.snapshot.Load().groups[groupKey{service: "s"}], &req, now)
	if err != nil || pl == nil || pl.Check() != nil {
		return false
	}
	f.inFlight = append(f.inFlight, attempt{pl, m, f.clk.Now(), m.considersCold()})
	f.observe()
	return true
}

func (f *fleet) observe() {
	f.history = append(f.history, observation{
		f.clk.Now(), runnerapi.Load{Running: len(f.inFlight), Cold: f.cold},
	})
}

func (f *fleet) release(t *rapid.T) {
	if len(f.inFlight) == 0 {
		return
	}
	i := rapid.IntRange(0, len(f.inFlight)-1).Draw(t, "place")
	ending := Ending(rapid.SampledFrom([]int{0, 0, 0, 2, 4}).Draw(t, "ending"))
	s := f.inFlight[i]
	f.inFlight = slices.Delete(f.inFlight, i, i+1)
	f.observe()
	res := Result{Ending: ending, Latency: f.clk.Now().Sub(s.sentAt)}
	if ending == Completed {
		if load, at := f.delayedReport(t); load != nil {
			res.Load = load
			s.sender.recordReport(*load, at)
		}
	}
	if ending == Failed {
		s.sender.coldSignAt = f.clk.Now()
	}
	s.pl.Release(res)
}

// delayedReport returns one of the last load reports and the time at which it
// was made.
func (f *fleet) delayedReport(t *rapid.T) (*runnerapi.Load, time.Time) {
	if len(f.history) == 0 {
		return nil, time.Time{}
	}
	oldest := max(0, len(f.history)-4)
	o := f.history[rapid.IntRange(oldest, len(f.history)-1).Draw(t, "report")]
	load := o.load
	load.AgeMillis = f.clk.Now().Sub(o.at).Milliseconds()
	return &load, o.at
}

func (f *fleet) report(t *rapid.T) {
	if load, at := f.delayedReport(t); load != nil {
		m := f.any(t)
		m.recordReport(*load, at)
		m.p.ReportLoad("r", *load)
	}
}

func (f *fleet) gossip(t *rapid.T) {
	from, to := f.any(t), f.any(t)
	d := from.p.Digest(start)
	for _, e := range d.Entries {
		if !e.Cold && from.warmEvidenceAt.After(to.warmEvidenceAt) {
			to.warmEvidenceAt = from.warmEvidenceAt
		}
	}
	to.p.MergeDigest(d, 0)
}

// drainAndUndrain drains and undrains the runner at one instance, which then
// considers it cold.
func (f *fleet) drainAndUndrain(t *rapid.T) {
	m := f.any(t)
	if !f.clk.Now().Before(m.viewValidUntil) {
		return
	}
	out := m.topo
	out.Draining = map[string]bool{"r": true}
	m.p.Update(out)
	m.p.Update(m.topo)
	m.coldSignAt = f.clk.Now()
}

// changeView moves the fleet to another view while some instances lag behind.
func (f *fleet) changeView(t *rapid.T) {
	f.announce(t)
	for _, m := range f.instances {
		if rapid.IntRange(0, 3).Draw(t, "sees") > 0 {
			m.sawAnnounced = true
			f.updateView(m, f.announced, false)
		}
	}
	f.advanceBy(viewTTL)
	f.commitAnnounced(t)
	for _, m := range f.instances {
		if !m.sawAnnounced && rapid.Bool().Draw(t, "settles") {
			f.updateView(m, f.view, true)
		}
	}
}

// awaitGrants waits until the granted shares are in effect and then lets every
// instance send.
func (f *fleet) awaitGrants(t *rapid.T) {
	for range 2 {
		f.advanceBy(maxAttemptDuration / 2)
		f.extendViews()
	}
	f.sendAll(t)
}

// extendViews extends the views of the instances that use the effective view.
func (f *fleet) extendViews() {
	for _, m := range f.instances {
		if !m.sawAnnounced && m.viewVersion == f.version && f.clk.Now().Before(m.viewValidUntil) {
			m.viewValidUntil = f.clk.Now().Add(viewTTL)
			m.p.ExtendView(m.viewValidUntil)
		}
	}
}

// sendAll starts as many attempts as each instance may.
func (f *fleet) sendAll(*rapid.T) {
	for _, m := range f.instances {
		for f.send(m) {
		}
	}
}

func (f *fleet) drawCold(t *rapid.T) {
	f.cold = rapid.Bool().Draw(t, "turnsCold")
	f.observe()
}

func (f *fleet) advance(t *rapid.T) {
	f.advanceBy(time.Duration(rapid.SampledFrom([]int{1, 50, 300, 20_000, 600_000}).Draw(t, "micros")) * time.Microsecond)
}

// advanceBy advances the clock by d and cancels the attempts that reached their
// maximum duration.
func (f *fleet) advanceBy(d time.Duration) {
	f.clk.Advance(d)
	f.inFlight = slices.DeleteFunc(f.inFlight, func(s attempt) bool {
		late := f.clk.Now().Sub(s.sentAt) >= maxAttemptDuration
		if late {
			s.pl.Release(Result{Ending: Cancelled})
		}
		return late
	})
	f.observe()
}

func (f *fleet) check(t *rapid.T) {
	if n := f.knownColdAttempts(); n > f.runner.ColdSlots {
		t.Fatalf("the cold runner has %d attempts in flight, allowed are %d", n, f.runner.ColdSlots)
	}
}

// knownColdAttempts counts the attempts whose senders considered the runner
// cold.
func (f *fleet) knownColdAttempts() int {
	n := 0
	for _, s := range f.inFlight {
		if s.knownCold {
			n++
		}
	}
	return n
}

// TestColdRunnerProperty moves instances between views one by one while the
// runner turns cold at arbitrary times. The attempts of instances that consider
// the runner cold never exceed its cold slots.
func TestColdRunnerProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(t)
		// The order of the action keys determines what a seed draws, so
		// renaming one invalidates recorded seeds.
		t.Repeat(map[string]func(*rapid.T){
			"announce": f.announce, "see": f.deliverAnnounced, "see2": f.deliverAnnounced, "lapse": f.unsettle,
			"renew": f.renewView, "takeEffect": f.commitAnnounced,
			"ask": f.request, "ask2": f.request, "ask3": f.request, "done": f.release,
			"report": f.report, "gossip": f.gossip, "turn": f.drawCold,
			"advance": f.advance, "bounce": f.drainAndUndrain, "change": f.changeView,
			"settleDown": f.awaitGrants, "askAll": f.sendAll, "": f.check,
		})
	})
}

// TestColdRunnerAtFleetSize moves 450 instances that share one cold runner
// through changes of the view. In each change, a quarter of them receive the
// new view late.
func TestColdRunnerAtFleetSize(t *testing.T) {
	for _, coldSlots := range []int{1, 8, 64, 1000} {
		is := is.New(t)
		f := &fleet{clk: clock.NewManual(start), cold: true, runner: bundle.Runner{
			ID: "r", Zone: "z", Service: "s", Slots: 2000, ColdSlots: coldSlots,
		}}
		for i := range 450 {
			m := &instance{id: fmt.Sprintf("i%03d", i), p: New(f.clk).(*pools)}
			f.instances = append(f.instances, m)
			f.view = append(f.view, m.id)
		}
		for _, m := range f.instances {
			f.updateView(m, f.view, true)
		}
		f.awaitGrants(nil)
		is.Equal(f.knownColdAttempts(), coldSlots) // all cold slots are in use
		for round := range 4 {
			f.announced = slices.Delete(slices.Clone(f.view), 100*round, 100*round+1)
			for i, m := range f.instances {
				if m.sawAnnounced = i%4 != round; m.sawAnnounced {
					f.updateView(m, f.announced, false)
				}
			}
			f.sendAll(nil)
			is.True(f.knownColdAttempts() <= coldSlots)
			f.advanceBy(viewTTL)
			f.commitAnnounced(nil)
			for i, m := range f.instances {
				if i%2 == 0 {
					f.updateView(m, f.view, true)
				}
			}
			f.sendAll(nil)
			is.True(f.knownColdAttempts() <= coldSlots)
			f.awaitGrants(nil)
			is.True(f.knownColdAttempts() <= coldSlots)
		}
	}
}
