package loads

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// partners returns the instances to ask in a turn: the owners of the runners
// that are held for cold, and one of the others by turns.
func partners(self string, members, cold []string, turn int) []string {
	others := slices.DeleteFunc(slices.Clone(members), func(id string) bool { return id == self })
	if len(others) == 0 {
		return nil
	}
	out := []string{others[turn%len(others)]}
	for _, runner := range cold {
		id := owner(members, runner)
		if len(out) == maxPartners {
			break
		}
		if id != self && !slices.Contains(out, id) {
			out = append(out, id)
		}
	}
	return out
}

// owner returns the member that asks a runner for its load, by rendezvous
// hashing: when the members change, few runners change hands.
func owner(members []string, runner string) string {
	var best string
	var weight uint64
	for _, id := range members {
		w := xxhash.Sum64String(id + "\x00" + runner)
		if best == "" || w > weight {
			best, weight = id, w
		}
	}
	return best
}
