package pool

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"cicadawell.dev/fleet/bundle"
	"cicadawell.dev/fleet/clock"
	"cicadawell.dev/fleet/runnerapi"
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
}

// sent is a place in use.
type sent struct {
	pl *place
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
	m.p.Update(Topology{
		Runners: []bundle.Runner{f.runner}, Zone: "z", Self: m.id,
		Instances: view, Settled: settled, Longest: longestAttempt,
	})
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
	for _, m := range f.instances {
		m.seen = false
	}
}

func (f *fleet) ask(t *rapid.T) {
	m := f.any(t)
	ask := Ask{Service: "s", Team: "t", Paying: true, Deadline: f.clk.Now().Add(longestAttempt)}
	now := m.p.now()
	pl, err := m.p.atOnce(m.p.snapshot.Load().groups[groupKey{service: "s"}], &ask, now)
	if err == nil && pl != nil && pl.Check() == nil {
		f.held = append(f.held, sent{pl, f.clk.Now(), pl.r.cold.Load()})
		f.observe()
	}
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
		res.Load = f.lagging(t)
	}
	s.pl.Done(res)
}

// lagging returns a report of some time ago.
func (f *fleet) lagging(t *rapid.T) *runnerapi.Load {
	if len(f.history) == 0 {
		return nil
	}
	oldest := max(0, len(f.history)-4)
	o := f.history[rapid.IntRange(oldest, len(f.history)-1).Draw(t, "report")]
	load := o.load
	load.AgeMillis = f.clk.Now().Sub(o.at).Milliseconds()
	return &load
}

func (f *fleet) report(t *rapid.T) {
	if load := f.lagging(t); load != nil {
		f.any(t).p.Report("r", *load)
	}
}

func (f *fleet) gossip(t *rapid.T) {
	from, to := f.any(t), f.any(t)
	to.p.Learn(from.p.Digest(start), 0)
}

func (f *fleet) turn(t *rapid.T) {
	f.cold = rapid.Bool().Draw(t, "turnsCold")
	f.observe()
}

func (f *fleet) advance(t *rapid.T) {
	f.clk.Advance(time.Duration(rapid.IntRange(1, 600).Draw(t, "millis")) * time.Millisecond)
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
	n := 0
	for _, s := range f.held {
		if s.cold {
			n++
		}
	}
	if n > f.runner.ColdSlots {
		t.Fatalf("the cold runner bears %d attempts of %d", n, f.runner.ColdSlots)
	}
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
			"advance": f.advance, "": f.check,
		})
	})
}
