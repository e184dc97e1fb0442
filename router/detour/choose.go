package detour

import (
	"time"

	"cicadawell.dev/fleet/random"
	"cicadawell.dev/router/inventory"
)

// sampleRunners returns n of the runners at random, those of zones and services that no
// other one of the sample has first, so that the loss of one zone or service isn't taken
// for a cut.
func sampleRunners(runners []*inventory.Runner, n int, numbers random.Source) []*inventory.Runner {
	shuffled := make([]*inventory.Runner, 0, len(runners))
	for i, r := range runners {
		shuffled = append(shuffled, r)
		k := numbers.IntN(i + 1)
		shuffled[i], shuffled[k] = shuffled[k], shuffled[i]
	}
	var sample []*inventory.Runner
	zones, services := make(map[string]bool), make(map[string]bool)
	for len(sample) < n && len(shuffled) > 0 {
		best, bestNew := 0, -1
		for i, r := range shuffled {
			isNew := 0
			if !zones[r.Zone] {
				isNew++
			}
			if !services[r.Service] {
				isNew++
			}
			if isNew > bestNew {
				best, bestNew = i, isNew
			}
		}
		r := shuffled[best]
		zones[r.Zone], services[r.Service] = true, true
		sample = append(sample, r)
		shuffled = append(shuffled[:best], shuffled[best+1:]...)
	}
	return sample
}

const (
	// otherZoneFactor is the additional load that an instance of another zone counts as,
	// triedZoneFactor that of one in a zone where another one was asked in vain, since a
	// zone may be cut off as a whole.
	otherZoneFactor = 1.3
	triedZoneFactor = 1000
	// defaultCPUShare is assumed of instances that registered none, in cores.
	defaultCPUShare = 0.5
)

// carrier is what is known of another instance as one that opens connections for this one.
type carrier struct {
	// open counts the connections of this instance that it carries.
	open int
	// avoidUntil is until when it isn't asked, since it refused or didn't answer.
	avoidUntil time.Time
}

// chooseCarrier returns the instance with the least load for its CPU share, or "" if there
// is none. Instances in tried are left out, and their zones come last; those of zone come
// before others unless it is empty.
func chooseCarrier(self, zone string, instances map[string]inventory.Instance, carriers map[string]*carrier, tried map[string]bool, now time.Time, numbers random.Source) string {
	best, least, ties := "", 0.0, 0
	triedZones := make(map[string]bool)
	for name := range tried {
		triedZones[instances[name].Zone] = true
	}
	for name, i := range instances {
		if name == self || tried[name] {
			continue
		}
		open := 0
		if c := carriers[name]; c != nil {
			if now.Before(c.avoidUntil) {
				continue
			}
			open = c.open
		}
		load := loadOf(i, open, zone, triedZones)
		switch {
		case best == "" || load < least:
			best, least, ties = name, load, 1
		case load == least:
			if ties++; numbers.IntN(ties) == 0 {
				best = name
			}
		}
	}
	return best
}

// loadOf returns what an instance with open connections of this one counts as loaded with.
func loadOf(i inventory.Instance, open int, zone string, triedZones map[string]bool) float64 {
	share := i.CPUShare
	if share <= 0 {
		share = defaultCPUShare
	}
	load := float64(open+1) / share
	if zone != "" && i.Zone != zone {
		load *= otherZoneFactor
	}
	if triedZones[i.Zone] {
		load *= triedZoneFactor
	}
	return load
}
