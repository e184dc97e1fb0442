package pool

import (
	"math/rand/v2"
	"slices"

	"cicadawell.dev/router/permit"
)

// minInstancesPerRunner is the minimum number of instances that use each
// runner, if there are that many instances.
const minInstancesPerRunner = 3

// subset returns the runners of the list that the instance at the given index
// of n instances uses, at least size of them if the list has that many. The
// instances are divided into rounds. Each round shuffles the list in an order
// that all instances compute alike, and assigns every runner to one instance of
// the round.
func subset(list []*runner, size, index, n int) []*runner {
	n = max(1, n)
	size = max(size, (minInstancesPerRunner*len(list)+n-1)/n)
	if size <= 0 || len(list) <= size {
		return list
	}
	parts := len(list) / size
	round, part := index/parts, index%parts
	shuffled := slices.Clone(list)
	rng := rand.New(rand.NewPCG(uint64(round), uint64(len(list))))
	rng.Shuffle(len(shuffled), func(i, j int) {
		shuffled[i], shuffled[j] = shuffled[j], shuffled[i]
	})
	return shuffled[part*len(list)/parts : (part+1)*len(list)/parts]
}

// selectRunners returns the instance's subset of the list, plus the runners of
// which it holds a share while they are cold.
func (p *pools) selectRunners(list []*runner, self int, view permit.View) []*runner {
	chosen := subset(list, p.cfg.subsetSize, self, view.Len())
	if len(chosen) == len(list) {
		return list
	}
	kept := slices.Clone(chosen)
	in := make(map[*runner]bool, len(chosen))
	for _, r := range chosen {
		in[r] = true
	}
	for _, r := range list {
		if !in[r] && r.hasColdShare() {
			kept = append(kept, r)
		}
	}
	return kept
}

// hasColdShare reports whether the view gives this instance a share of the
// runner while it is cold.
func (r *runner) hasColdShare() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.coldShare.granted > 0
}
