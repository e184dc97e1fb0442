package loads

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// selectPeers returns the instances to pull from in a round: one of the others
// in rotation and the owners of the runners considered cold, at most maxPeers
// in all.
func selectPeers(self string, members, cold []string, round int) []string {
	others := slices.DeleteFunc(slices.Clone(members), func(id string) bool { return id == self })
	if len(others) == 0 {
		return nil
	}
	peers := []string{others[round%len(others)]}
	for _, runner := range cold {
		id := owner(members, runner)
		if len(peers) == maxPeers {
			break
		}
		if id != self && !slices.Contains(peers, id) {
			peers = append(peers, id)
		}
	}
	return peers
}

// owner returns the member that polls the runner, chosen by rendezvous hashing,
// so that few runners change owners when the members change.
func owner(members []string, runner string) string {
	var best string
	var bestScore uint64
	for _, id := range members {
		score := xxhash.Sum64String(id + "\x00" + runner)
		if best == "" || score > bestScore {
			best, bestScore = id, score
		}
	}
	return best
}
