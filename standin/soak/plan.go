// Package soak runs a fleet of real processes under traffic and a seeded plan of
// overlapping faults, and checks what callers and runners saw.
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
	// KillRouter ends a router at once, PauseRouter stops its process for a while,
	// StopRouter asks it to end; killed and stopped ones are replaced.
	KillRouter  Kind = "killRouter"
	PauseRouter Kind = "pauseRouter"
	StopRouter  Kind = "stopRouter"
	// The store is away, slow, takes writes without an answer, or has all its open
	// connections go silent.
	StoreDown   Kind = "storeDown"
	StoreSlow   Kind = "storeSlow"
	StoreLoses  Kind = "storeLoses"
	StoreSilent Kind = "storeSilent"
	// A runner drops calls before or after it runs them, refuses all, is slow,
	// turns cold, or has its open connections go silent.
	RunnerDropsBefore Kind = "runnerDropsBefore"
	RunnerDropsAfter  Kind = "runnerDropsAfter"
	RunnerRefuses     Kind = "runnerRefuses"
	RunnerSlow        Kind = "runnerSlow"
	RunnerCold        Kind = "runnerCold"
	RunnerSilent      Kind = "runnerSilent"
	// ZoneOut takes a zone out and back, Drain a runner, Roll brings a new version
	// of the configuration in force.
	ZoneOut Kind = "zoneOut"
	Drain   Kind = "drain"
	Roll    Kind = "roll"
)

// kinds are all kinds of faults, in a fixed order: plans depend on it.
var kinds = []Kind{
	KillRouter, PauseRouter, StopRouter, StoreDown, StoreSlow, StoreLoses, StoreSilent, RunnerDropsBefore,
	RunnerDropsAfter, RunnerRefuses, RunnerSlow, RunnerCold, RunnerSilent, ZoneOut, Drain, Roll,
}

// Fault is one fault of a plan.
type Fault struct {
	// At is when it begins, For how long it lasts where it ends by itself.
	At, For time.Duration
	Kind    Kind
	// Target chooses among the things that the fault may befall.
	Target int
}

func (f Fault) String() string {
	return fmt.Sprintf("%6.2fs %-18s target %d for %v", f.At.Seconds(), f.Kind, f.Target, f.For)
}

const (
	// meanGap is the mean time between the beginnings of two faults, less than
	// faults last, so that they overlap.
	meanGap = 900 * time.Millisecond
	// shortest and longest are how long faults last.
	shortest, longest = 300 * time.Millisecond, 5 * time.Second
	// maxTarget is larger than any number of processes of a fleet.
	maxTarget = 1 << 16
)

// NewPlan returns the faults of a seed that begin within d.
func NewPlan(seed uint64, d time.Duration) []Fault {
	random := rand.New(rand.NewPCG(seed, 0))
	var plan []Fault
	for at := time.Duration(0); ; {
		at += time.Duration(random.ExpFloat64() * float64(meanGap))
		if at >= d {
			return plan
		}
		plan = append(plan, Fault{
			At: at, For: shortest + time.Duration(random.Int64N(int64(longest-shortest))),
			Kind: kinds[random.IntN(len(kinds))], Target: random.IntN(maxTarget),
		})
	}
}
