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

// fleet is several instances in front of one runner, each at its own point of
// the change from one view to the next.
type fleet struct {
	clk       *clock.Manual
	runner    bundle.Runner
	instances []*member
	// view is the one in effect, announced the next one or nil.
	view, announced []string
	version         int
	cold            bool
	held            []sent
	history         []observation
}

// member is one instance.
type member struct {
	id string
	p  *pools
	// until is when its hold ends.
	until time.Time
	// seen tells that it knows of announced.
	seen bool
	// version is that of the view in effect when it was last told of it.
	version int
	// told is the last topology.
	told Topology
	// sign and proof are when the newest sign of a cold start and the newest
	// proof of the contrary were made that reached the instance.
	sign, proof time.Time
}

// learns takes in a report made at the given time.
func (m *member) learns(load runnerapi.Load, at time.Time) {
	if load.Cold && at.After(m.sign) {
		m.sign = at
	}
	if !load.Cold && at.After(m.proof) {
		m.proof = at
	}
}

// knowsCold reports whether the instance may send only by its share.
func (m *member) knowsCold() bool { return !m.proof.After(m.sign) }

// sent is a place in use.
type sent struct {
	pl *place
	by *member
	at time.Time
	// cold tells that the sender knew the runner to be cold.
	cold bool
}

// observation is what the runner bore at a time.
type observation struct {
	at   time.Time
	load runnerapi.Load
}

const longestAttempt = time.Second

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
		m := &member{id: id, p: New(f.clk).(*pools)}
		f.instances = append(f.instances, m)
		if i > 0 {
			f.view = append(f.view, id)
		}
	}
	for _, m := range f.instances {
		f.tell(m, f.view, true)
	}
	return f
}

const holdTime = 700 * time.Millisecond

// tell gives an instance a view and a new hold.
func (f *fleet) tell(m *member, view []string, settled bool) {
	m.told = Topology{
		Runners: []bundle.Runner{f.runner}, Zone: "z", Self: m.id,
		Instances: view, Settled: settled, Longest: longestAttempt,
	}
	m.p.Update(m.told)
	m.version = f.version
	m.until = f.clk.Now().Add(holdTime)
	m.p.Hold(m.until)
}

func (f *fleet) any(t *rapid.T) *member {
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

// see shows the announced view to an instance.
func (f *fleet) see(t *rapid.T) {
	if m := f.any(t); f.announced != nil {
		m.seen = true
		f.tell(m, f.announced, false)
	}
}

// lapse tells an instance that its view is about to change, but not how.
func (f *fleet) lapse(t *rapid.T) {
	if m := f.any(t); !m.seen {
		f.tell(m, f.view, false)
	}
}

// renew shows the view in effect to an instance that knows of no later one.
func (f *fleet) renew(t *rapid.T) {
	if m := f.any(t); !m.seen {
		f.tell(m, f.view, true)
	}
}

// takeEffect moves the fleet on once no hold is left that does not cover the
// announced view.
func (f *fleet) takeEffect(*rapid.T) {
	if f.announced == nil {
		return
	}
	for _, m := range f.instances {
		if !m.seen && f.clk.Now().Before(m.until) {
			return
		}
	}
	f.view, f.announced = f.announced, nil
	f.version++
	for _, m := range f.instances {
		m.seen = false
	}
}

func (f *fleet) ask(t *rapid.T) {
	f.send(f.any(t))
}

// send starts an attempt if the instance has a place for it.
func (f *fleet) send(m *member) bool {
	ask := Ask{Service: "s", Team: "t", Paying: true, Deadline: f.clk.Now().Add(longestAttempt)}
	now := m.p.now()
	pl, err := m.p.acquireNow(m.p.snapshot.Load().groups[groupKey{service: "s"}], &ask, now)
	if err != nil || pl == nil || pl.Check() != nil {
		return false
	}
	f.held = append(f.held, sent{pl, m, f.clk.Now(), m.knowsCold()})
	f.observe()
	return true
}

func (f *fleet) observe() {
	f.history = append(f.history, observation{
		f.clk.Now(), runnerapi.Load{Running: len(f.held), Cold: f.cold},
	})
}

func (f *fleet) done(t *rapid.T) {
	if len(f.held) == 0 {
		return
	}
	i := rapid.IntRange(0, len(f.held)-1).Draw(t, "place")
	ending := Ending(rapid.SampledFrom([]int{0, 0, 0, 2, 4}).Draw(t, "ending"))
	s := f.held[i]
	f.held = slices.Delete(f.held, i, i+1)
	f.observe()
	res := Result{Ending: ending, Latency: f.clk.Now().Sub(s.at)}
	if ending == Completed {
		if load, at := f.lagging(t); load != nil {
			res.Load = load
			s.by.learns(*load, at)
		}
	}
	if ending == Failed {
		s.by.sign = f.clk.Now()
	}
	s.pl.Done(res)
}

// lagging returns a report of some time ago and when it was made.
func (f *fleet) lagging(t *rapid.T) (*runnerapi.Load, time.Time) {
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
	if load, at := f.lagging(t); load != nil {
		m := f.any(t)
		m.learns(*load, at)
		m.p.Report("r", *load)
	}
}

func (f *fleet) gossip(t *rapid.T) {
	from, to := f.any(t), f.any(t)
	d := from.p.Digest(start)
	for _, e := range d.Entries {
		if !e.Cold && from.proof.After(to.proof) {
			to.proof = from.proof
		}
	}
	to.p.Learn(d, 0)
}

// bounce takes the runner out for one instance and back: it counts as cold.
func (f *fleet) bounce(t *rapid.T) {
	m := f.any(t)
	if !f.clk.Now().Before(m.until) {
		return
	}
	out := m.told
	out.Draining = map[string]bool{"r": true}
	m.p.Update(out)
	m.p.Update(m.told)
	m.sign = f.clk.Now()
}

// change moves the fleet to another view while some instances lag.
func (f *fleet) change(t *rapid.T) {
	f.announce(t)
	for _, m := range f.instances {
		if rapid.IntRange(0, 3).Draw(t, "sees") > 0 {
			m.seen = true
			f.tell(m, f.announced, false)
		}
	}
	f.pass(holdTime)
	f.takeEffect(t)
	for _, m := range f.instances {
		if !m.seen && rapid.Bool().Draw(t, "settles") {
			f.tell(m, f.view, true)
		}
	}
}

// settleDown lets the granted shares come into use and every instance send.
func (f *fleet) settleDown(t *rapid.T) {
	for range 2 {
		f.pass(longestAttempt / 2)
		f.keep()
	}
	f.askAll(t)
}

// keep renews the holds of the instances that act on the view in effect.
func (f *fleet) keep() {
	for _, m := range f.instances {
		if !m.seen && m.version == f.version && f.clk.Now().Before(m.until) {
			m.until = f.clk.Now().Add(holdTime)
			m.p.Hold(m.until)
		}
	}
}

// askAll lets every instance send what it may.
func (f *fleet) askAll(*rapid.T) {
	for _, m := range f.instances {
		for f.send(m) {
		}
	}
}

func (f *fleet) turn(t *rapid.T) {
	f.cold = rapid.Bool().Draw(t, "turnsCold")
	f.observe()
}

func (f *fleet) advance(t *rapid.T) {
	f.pass(time.Duration(rapid.SampledFrom([]int{1, 50, 300, 20_000, 600_000}).Draw(t, "micros")) * time.Microsecond)
}

// pass lets d go by, which ends attempts that have run for their longest.
func (f *fleet) pass(d time.Duration) {
	f.clk.Advance(d)
	f.held = slices.DeleteFunc(f.held, func(s sent) bool {
		late := f.clk.Now().Sub(s.at) >= longestAttempt
		if late {
			s.pl.Done(Result{Ending: Cancelled})
		}
		return late
	})
	f.observe()
}

func (f *fleet) check(t *rapid.T) {
	if n := f.coldWork(); n > f.runner.ColdSlots {
		t.Fatalf("the cold runner bears %d attempts of %d", n, f.runner.ColdSlots)
	}
}

// coldWork counts what was sent by instances that knew the runner to be cold.
func (f *fleet) coldWork() int {
	n := 0
	for _, s := range f.held {
		if s.cold {
			n++
		}
	}
	return n
}

// TestColdRunnerProperty lets instances move between views one by one and a
// runner turn cold at any moment: what instances send while they know it to be
// cold never exceeds what it bears.
func TestColdRunnerProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(t)
		t.Repeat(map[string]func(*rapid.T){
			"announce": f.announce, "see": f.see, "see2": f.see, "lapse": f.lapse,
			"renew": f.renew, "takeEffect": f.takeEffect,
			"ask": f.ask, "ask2": f.ask, "ask3": f.ask, "done": f.done,
			"report": f.report, "gossip": f.gossip, "turn": f.turn,
			"advance": f.advance, "bounce": f.bounce, "change": f.change,
			"settleDown": f.settleDown, "askAll": f.askAll, "": f.check,
		})
	})
}

// TestColdRunnerAtFleetSize moves 450 instances through changes of the view in
// front of one cold runner, a quarter of them late.
func TestColdRunnerAtFleetSize(t *testing.T) {
	for _, coldSlots := range []int{1, 8, 64, 1000} {
		is := is.New(t)
		f := &fleet{clk: clock.NewManual(start), cold: true, runner: bundle.Runner{
			ID: "r", Zone: "z", Service: "s", Slots: 2000, ColdSlots: coldSlots,
		}}
		for i := range 450 {
			m := &member{id: fmt.Sprintf("i%03d", i), p: New(f.clk).(*pools)}
			f.instances = append(f.instances, m)
			f.view = append(f.view, m.id)
		}
		for _, m := range f.instances {
			f.tell(m, f.view, true)
		}
		f.settleDown(nil)
		is.Equal(f.coldWork(), coldSlots) // all places are used
		for round := range 4 {
			f.announced = slices.Delete(slices.Clone(f.view), 100*round, 100*round+1)
			for i, m := range f.instances {
				if m.seen = i%4 != round; m.seen {
					f.tell(m, f.announced, false)
				}
			}
			f.askAll(nil)
			is.True(f.coldWork() <= coldSlots)
			f.pass(holdTime)
			f.takeEffect(nil)
			for i, m := range f.instances {
				if i%2 == 0 {
					f.tell(m, f.view, true)
				}
			}
			f.askAll(nil)
			is.True(f.coldWork() <= coldSlots)
			f.settleDown(nil)
			is.True(f.coldWork() <= coldSlots)
		}
	}
}
