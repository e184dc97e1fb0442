package quarantine_test

import (
	"fmt"
	"runtime"
	"slices"
	"testing"
	"time"

	"cicadawell.dev/fleet/property"
	"cicadawell.dev/router/inventory"
	"cicadawell.dev/router/quarantine"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) { property.Main(m, 400) }

var origin = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// at returns the time some seconds after the origin.
func at(seconds float64) time.Time {
	return origin.Add(time.Duration(seconds * float64(time.Second)))
}

func suspect(runner, zone string, parts ...string) quarantine.Suspect {
	return quarantine.Suspect{Service: "s", Runner: runner, Born: 1, Zone: zone, Parts: parts}
}

// decided returns the parts of the quarantines that a detector calls for.
func decided(d *quarantine.Detector, now time.Time, known ...inventory.Quarantine) [][]string {
	var out [][]string
	list, _ := d.Decide(known, now)
	for _, q := range list {
		out = append(out, q.Parts)
	}
	return out
}

func TestPartAtThreeCrashesIsQuarantined(t *testing.T) {
	is := is.New(t)
	d := quarantine.NewDetector()
	d.Report("a", suspect("r1", "x", "one", "dead"), at(0))
	d.Report("b", suspect("r1", "x", "other"), at(0))
	d.Report("b", suspect("r2", "x", "dead", "two"), at(1))
	is.Equal(decided(d, at(1)), nil)
	d.Report("b", suspect("r2", "x", "dead", "two"), at(1.1)) // the same crash
	is.Equal(decided(d, at(1.1)), nil)
	d.Report("a", suspect("r3", "y", "other", "dead"), at(2))
	is.Equal(decided(d, at(2)), [][]string{{"dead"}})
}

// Until a part is known to be sound, only calls with all common parts are refused.
func TestPartsThatWereAlwaysTogetherAreQuarantinedTogether(t *testing.T) {
	is := is.New(t)
	d := quarantine.NewDetector()
	for n := range 3 {
		d.Report("a", suspect(fmt.Sprint("r", n), "x", "dead", "shared"), at(float64(n)))
	}
	is.Equal(decided(d, at(3)), [][]string{{"dead", "shared"}})
	d.Report("b", suspect("r4", "y", "dead", "other"), at(4))
	is.Equal(decided(d, at(4)), [][]string{{"dead"}})
	d.Answered("s", []string{"dead", "shared"}, at(5))
	is.Equal(decided(d, at(5)), nil)
}

func TestPartsAtTheSameCrashesInDifferentCallsAreAllQuarantined(t *testing.T) {
	is := is.New(t)
	d := quarantine.NewDetector()
	for n := range 3 {
		d.Report("a", suspect(fmt.Sprint("r", n), "x", "dead", "shared"), at(float64(n)))
		d.Report("b", suspect(fmt.Sprint("r", n), "x", "other"), at(float64(n)))
	}
	d.Report("b", suspect("r1", "x", "shared"), at(2))
	is.Equal(decided(d, at(3)), [][]string{{"dead", "shared"}, {"other"}})
	d.Answered("s", []string{"other"}, at(3))
	is.Equal(decided(d, at(3)), [][]string{{"dead", "shared"}})
}

func TestAnswerClearsSharedPartOfSoundCalls(t *testing.T) {
	is := is.New(t)
	d := quarantine.NewDetector()
	for n := range 3 {
		d.Report("a", suspect(fmt.Sprint("r", n), "x", "dead", "shared"), at(float64(n)))
	}
	d.Answered("other", []string{"dead", "shared"}, at(3)) // says nothing about this service
	d.Answered("s", []string{"shared"}, at(3))
	is.Equal(decided(d, at(3)), [][]string{{"dead"}})
}

func TestPopularPartAtUnrelatedCrashesIsNotQuarantined(t *testing.T) {
	is := is.New(t)
	d := quarantine.NewDetector()
	for n := range 20 {
		now := at(10 * float64(n))
		d.Report("a", suspect(fmt.Sprint("r", n), "x", "popular"), now)
		is.Equal(decided(d, now), nil)
		d.Answered("s", []string{"popular"}, now.Add(time.Second))
	}
	// Parts at crashes that another part explains aren't quarantined either.
	d = quarantine.NewDetector()
	for n := range 6 {
		d.Report("a", suspect(fmt.Sprint("r", n), "x", "dead", fmt.Sprint("own", n)), at(float64(n)))
		if n%2 == 0 {
			d.Report("b", suspect(fmt.Sprint("r", n), "x", "popular"), at(float64(n)))
		}
	}
	is.Equal(decided(d, at(6)), [][]string{{"dead"}})
}

func TestOutageOfZoneIsOneCrash(t *testing.T) {
	is := is.New(t)
	d := quarantine.NewDetector()
	for n := range 200 {
		d.Report(fmt.Sprint("i", n%7), suspect(fmt.Sprint("r", n), "x", "fresh"), at(float64(n)/2000))
	}
	is.Equal(decided(d, at(1)), nil)
}

func TestLostNetworkOfInstanceIsOneCrash(t *testing.T) {
	is := is.New(t)
	d := quarantine.NewDetector()
	for n := range 12 {
		d.Report("a", suspect(fmt.Sprint("r", n), fmt.Sprint("z", n), "fresh"), at(float64(n)/100))
	}
	is.Equal(decided(d, at(1)), nil)
}

func TestPartWithEarlierAnswersNeedsFiveCrashes(t *testing.T) {
	is := is.New(t)
	d := quarantine.NewDetector()
	for n := range 5 {
		is.Equal(decided(d, at(float64(n))), nil)
		s := suspect(fmt.Sprint("r", n), "x", "old")
		if n == 1 {
			s.Proven = []string{"old"}
		}
		d.Report("a", s, at(float64(n)))
	}
	is.Equal(decided(d, at(5)), [][]string{{"old"}})
}

func TestQuarantineThatAnotherExplainsIsRefuted(t *testing.T) {
	is := is.New(t)
	d := quarantine.NewDetector()
	for n := range 3 {
		d.Report("a", suspect(fmt.Sprint("r", n), "x", "one", "dead"), at(float64(n)))
	}
	first, _ := d.Decide(nil, at(2))
	is.Equal(first[0].Parts, []string{"dead", "one"})
	d.Report("a", suspect("r3", "x", "two", "dead"), at(3))
	due, refuted := d.Decide(first, at(3))
	is.Equal(len(due), 1)
	is.Equal(due[0].Parts, []string{"dead"})
	is.Equal(refuted, []string{first[0].ID})
	// A detector that hasn't seen the crashes refutes nothing.
	_, refuted = quarantine.NewDetector().Decide(first, at(3))
	is.Equal(refuted, nil)
}

// TestOwnerWithFewerCrashesKeepsQuarantineOfAnother has an owner that only knows the
// crashes at which two parts were together, while another has told them apart.
func TestOwnerWithFewerCrashesKeepsQuarantineOfAnother(t *testing.T) {
	is := is.New(t)
	d := quarantine.NewDetector()
	for n := range 3 {
		d.Report("a", suspect(fmt.Sprint("r", n), "x", "other", "dead"), at(float64(n)))
	}
	narrow, broad := quarantine.New("s", []string{"dead"}, time.Second), quarantine.New("s", []string{"dead", "other"}, time.Second)
	due, refuted := d.Decide([]inventory.Quarantine{narrow}, at(2))
	is.Equal(refuted, nil)
	is.Equal(len(due), 0) // the one in force refuses the same calls, and more
	due, refuted = d.Decide([]inventory.Quarantine{narrow, broad}, at(2))
	is.Equal(refuted, nil)
	is.Equal(len(due), 0)
	elsewhere := quarantine.New("t", []string{"dead"}, time.Second)
	due, _ = d.Decide([]inventory.Quarantine{elsewhere}, at(2))
	is.Equal(len(due), 1)
}

func TestEvidenceIsForgottenAndQuarantineRemembered(t *testing.T) {
	is := is.New(t)
	d := quarantine.NewDetector()
	d.Report("a", suspect("r1", "x", "dead"), at(0))
	d.Report("a", suspect("r2", "x", "dead"), at(1))
	d.Report("a", suspect("r3", "x", "dead"), at(130)) // the first two are too old
	is.Equal(decided(d, at(130)), nil)
	d.Report("a", suspect("r4", "x", "dead"), at(131))
	d.Report("a", suspect("r5", "x", "dead"), at(132))
	is.Equal(decided(d, at(132)), [][]string{{"dead"}})
	is.Equal(decided(d, at(400)), nil)
	d.Report("a", suspect("r6", "x", "dead"), at(900)) // after the end, one crash is enough
	is.Equal(decided(d, at(900)), [][]string{{"dead"}})
	is.Equal(decided(d, at(8000)), nil)
	d.Report("a", suspect("r7", "x", "dead"), at(8000))
	is.Equal(decided(d, at(8000)), nil)
}

// TestNewOwnerRemembersQuarantineInForce has the detector that decided lost before the
// quarantine ends.
func TestNewOwnerRemembersQuarantineInForce(t *testing.T) {
	is := is.New(t)
	d := quarantine.NewDetector()
	known := quarantine.New("s", []string{"dead"}, time.Second)
	known.SeenAt = at(0)
	is.Equal(decided(d, at(0), known), nil)
	is.Equal(decided(d, at(600)), nil)
	d.Report("a", suspect("r1", "x", "dead", "shared"), at(700))
	is.Equal(decided(d, at(700)), [][]string{{"dead"}})
	// One that an answer has refuted isn't remembered, even while it is still read.
	d = quarantine.NewDetector()
	is.Equal(decided(d, at(0), known), nil)
	d.Answered("s", []string{"dead"}, at(1))
	is.Equal(decided(d, at(2), known), nil)
	d.Report("a", suspect("r1", "x", "dead"), at(700))
	is.Equal(decided(d, at(700)), nil)
	// Nor is one that another owner has withdrawn.
	d = quarantine.NewDetector()
	is.Equal(decided(d, at(0), known), nil)
	is.Equal(decided(d, at(60)), nil)
	d.Report("a", suspect("r1", "x", "dead"), at(700))
	is.Equal(decided(d, at(700)), nil)
}

func TestRepeatedReportsCountOnceAndNotAfterAnAnswer(t *testing.T) {
	is := is.New(t)
	d := quarantine.NewDetector()
	all := []quarantine.Suspect{suspect("r1", "x", "dead"), suspect("r2", "x", "dead"), suspect("r3", "x", "dead")}
	for i := range all {
		all[i].AgeMillis = int64(3000 - 1000*i)
	}
	for range 3 {
		d.Report("a", all[0], at(3))
		d.Report("a", all[1], at(3))
	}
	is.Equal(decided(d, at(3)), nil)
	restarted := quarantine.NewDetector()
	for _, s := range []quarantine.Suspect{all[2], all[0], all[1]} {
		restarted.Report("a", s, at(3))
	}
	is.Equal(decided(restarted, at(3)), [][]string{{"dead"}})
	restarted.Answered("s", []string{"dead"}, at(2.5))
	for _, s := range all {
		restarted.Report("a", s, at(3))
	}
	is.Equal(decided(restarted, at(3)), nil)
}

func TestOneCrashAtAnotherServiceIsEnough(t *testing.T) {
	is := is.New(t)
	d := quarantine.NewDetector()
	known := quarantine.New("other", []string{"dead"}, time.Second)
	d.Report("a", suspect("r1", "x", "dead", "shared"), at(0))
	is.Equal(decided(d, at(0)), nil)
	list, _ := d.Decide([]inventory.Quarantine{known}, at(0))
	is.Equal(len(list), 1)
	is.Equal(list[0].Service, "s")
	is.Equal(list[0].Parts, []string{"dead"})
}

func TestEvidenceIsBounded(t *testing.T) {
	is := is.New(t)
	d := quarantine.NewDetector()
	long := make([]string, 100)
	for i := range long {
		long[i] = fmt.Sprint("p", i)
	}
	for n := range 5000 {
		d.Report(fmt.Sprint("i", n), suspect(fmt.Sprint("r", n), "x", long[n%50:]...), at(float64(n)/1000))
	}
	list, _ := d.Decide(nil, at(5))
	for _, q := range list {
		is.NoErr(quarantine.Validate(&q))
	}
}

func TestQuarantinesOfOtherWritersAreChecked(t *testing.T) {
	is := is.New(t)
	good := quarantine.New("s", []string{"b", "a", "b"}, time.Second)
	is.NoErr(quarantine.Validate(&good))
	is.Equal(good.Parts, []string{"a", "b"})
	for _, change := range []func(*inventory.Quarantine){
		func(q *inventory.Quarantine) { q.Service = "" },
		func(q *inventory.Quarantine) { q.Service = "t" },
		func(q *inventory.Quarantine) { q.Parts = nil },
		func(q *inventory.Quarantine) { q.Parts = []string{"b", "a"} },
		func(q *inventory.Quarantine) { q.Parts = []string{"a", "c"} },
		func(q *inventory.Quarantine) { q.Parts = []string{"", "a"} },
		func(q *inventory.Quarantine) { q.Parts = make([]string, 1000) },
		func(q *inventory.Quarantine) { q.Evidence = -1 },
		func(q *inventory.Quarantine) { q.Evidence = 1 << 62 },
		func(q *inventory.Quarantine) { q.ID = "x" },
	} {
		q := quarantine.New("s", []string{"a", "b"}, time.Second)
		change(&q)
		is.True(quarantine.Validate(&q) != nil)
	}
}

// TestPartIsFoundAmongAllCallsOfBusyRunners has as many calls wait at each runner as
// engines run at once, with the one that crashes it reported last.
func TestPartIsFoundAmongAllCallsOfBusyRunners(t *testing.T) {
	is := is.New(t)
	d := quarantine.NewDetector()
	for n := range 3 {
		for i := range 63 {
			d.Report(fmt.Sprint("i", i%5), suspect(fmt.Sprint("r", n), "x", fmt.Sprintf("own%d.%d", n, i)), at(float64(n)))
		}
		d.Report("i5", suspect(fmt.Sprint("r", n), "x", "dead"), at(float64(n)))
	}
	is.Equal(decided(d, at(3)), [][]string{{"dead"}})
}

// TestDecisionsProperty plays crashes and answers in any order. What is quarantined
// was in flight at three crashes without an answer since. A part that crashes each
// runner is quarantined once no other part was in flight at more crashes.
func TestDecisionsProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := quarantine.NewDetector()
		sound := []string{"s0", "s1", "s2", "s3"}
		since := make(map[string]int)
		for n := range rapid.IntRange(1, 25).Draw(t, "events") {
			now := at(float64(n))
			if rapid.IntRange(0, 2).Draw(t, "kind") == 0 {
				part := rapid.SampledFrom(sound).Draw(t, "answered")
				d.Answered("s", []string{part}, now)
				since[part] = 0
				continue
			}
			calls := rapid.SliceOfN(rapid.SliceOfNDistinct(rapid.SampledFrom(sound), 1, 3, rapid.ID), 1, 3).Draw(t, "calls")
			if rapid.Bool().Draw(t, "by part") {
				calls[0] = append(calls[0], "dead")
			}
			seen := make(map[string]bool)
			for i, parts := range calls {
				d.Report(fmt.Sprint("i", i), suspect(fmt.Sprint("r", n), "x", parts...), now)
				for _, p := range parts {
					seen[p] = true
				}
			}
			for p := range seen {
				since[p]++
			}
			found := false
			list, _ := d.Decide(nil, now)
			for _, q := range list {
				for _, p := range q.Parts {
					if since[p] == 0 {
						t.Fatalf("%v is quarantined, %q had an answer since", q.Parts, p)
					}
				}
				found = found || slices.Contains(q.Parts, "dead")
			}
			most := 0
			for _, p := range sound {
				most = max(most, since[p])
			}
			if since["dead"] >= max(3, most+1) && !found {
				t.Fatalf("not found after %d crashes", since["dead"])
			}
		}
	})
}

// TestEvidenceOfLongPromptsBound guards against evidence that fills the memory.
func TestEvidenceOfLongPromptsBound(t *testing.T) {
	is := is.New(t)
	d := quarantine.NewDetector()
	heap := func() uint64 {
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	before := heap()
	for n := range 5000 {
		var parts []string
		for k := range 500 {
			parts = append(parts, fmt.Sprintf("%d.%d", n, k))
		}
		d.Report("i", suspect(fmt.Sprint("r", n%200), "x", parts...), at(float64(n)/1000))
	}
	held := heap() - before
	t.Logf("%d MB", held>>20)
	is.True(held < 16<<20)
	runtime.KeepAlive(d)
}
