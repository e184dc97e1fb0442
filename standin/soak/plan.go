// Package soak runs a fleet of real processes under traffic and a seeded plan of
// overlapping faults, and checks what callers and runners observed.
package soak

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// Kind is a kind of fault.
type Kind string

// The kinds of faults.
const (
	// KillRouter kills a router, PauseRouter suspends its process for a while and
	// StopRouter asks it to shut down. A killed or stopped router is replaced.
	KillRouter  Kind = "killRouter"
	PauseRouter Kind = "pauseRouter"
	StopRouter  Kind = "stopRouter"
	// The store closes the connection of every call, is slow, applies writes without
	// answering, or stops answering on all its open connections without closing them.
	StoreDown   Kind = "storeDown"
	StoreSlow   Kind = "storeSlow"
	StoreLoses  Kind = "storeLoses"
	StoreSilent Kind = "storeSilent"
	// A runner closes the connections of calls before or after it runs them, refuses all
	// calls, is slow, starts a cold start, or stops answering on all its open connections
	// without closing them.
	RunnerDropsBefore Kind = "runnerDropsBefore"
	RunnerDropsAfter  Kind = "runnerDropsAfter"
	RunnerRefuses     Kind = "runnerRefuses"
	RunnerSlow        Kind = "runnerSlow"
	RunnerCold        Kind = "runnerCold"
	RunnerSilent      Kind = "runnerSilent"
	// ZoneOut takes a zone out and puts it back, Drain drains and undrains a runner, and
	// Roll rolls out a new version of the configuration.
	ZoneOut Kind = "zoneOut"
	Drain   Kind = "drain"
	Roll    Kind = "roll"
)

// kinds lists all kinds of faults. The plan of a seed depends on their order.
var kinds = []Kind{
	KillRouter, PauseRouter, StopRouter, StoreDown, StoreSlow, StoreLoses, StoreSilent, RunnerDropsBefore,
	RunnerDropsAfter, RunnerRefuses, RunnerSlow, RunnerCold, RunnerSilent, ZoneOut, Drain, Roll,
}

// Fault is one fault of a plan.
type Fault struct {
	// At is when the fault begins, relative to the start of the plan. For is how long it
	// lasts; KillRouter, StopRouter and Roll ignore it.
	At, For time.Duration
	Kind    Kind
	// Target selects the process, zone or runner that the fault applies to.
	Target int
}

func (f Fault) String() string {
	return fmt.Sprintf("%6.2fs %-18s target %d for %v", f.At.Seconds(), f.Kind, f.Target, f.For)
}

const (
	// meanGap is the mean time between the starts of two faults. It is shorter than most
	// faults last, so that faults overlap.
	meanGap = 900 * time.Millisecond
	// minFaultTime and maxFaultTime bound how long a fault lasts.
	minFaultTime, maxFaultTime = 300 * time.Millisecond, 5 * time.Second
	// maxTarget is larger than the number of processes in any fleet.
	maxTarget = 1 << 16
)

// NewPlan returns the plan of faults that seed determines, all of which begin within d.
func NewPlan(seed uint64, d time.Duration) []Fault {
	random := rand.New(rand.NewPCG(seed, 0))
	var plan []Fault
	for at := time.Duration(0); ; {
		at += time.Duration(random.ExpFloat64() * float64(meanGap))
		if at >= d {
			return plan
		}
		plan = append(plan, Fault{
			At: at, For: minFaultTime + time.Duration(random.Int64N(int64(maxFaultTime-minFaultTime))),
			Kind: kinds[random.IntN(len(kinds))], Target: random.IntN(maxTarget),
		})
	}
}
