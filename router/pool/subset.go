package pool

import (
	"math/rand/v2"
	"slices"

	"cicadawell.dev/router/permit"
)

// subsetCover is how many instances use each runner at least, where there are
// so many.
const subsetCover = 3

// subset returns the runners of the list that the instance at the given index
// of n uses, at least size of them. In each round every runner goes to one
// instance, in an order that all instances compute alike.
func subset(list []*runner, size, index, n int) []*runner {
	n = max(1, n)
	size = max(size, (subsetCover*len(list)+n-1)/n)
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

// narrow returns the instance's subset of the list, and besides the runners
// of which it would hold places while they are cold.
func (p *pools) narrow(list []*runner, self int, view permit.View) []*runner {
	chosen := subset(list, p.cfg.subset, self, view.Len())
	if len(chosen) == len(list) {
		return list
	}
	kept := slices.Clone(chosen)
	in := make(map[*runner]bool, len(chosen))
	for _, r := range chosen {
		in[r] = true
	}
	for _, r := range list {
		if !in[r] && r.mayUseCold() {
			kept = append(kept, r)
		}
	}
	return kept
}

// mayUseCold reports whether the view gives this instance a share of the
// runner while it is cold.
func (r *runner) mayUseCold() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.permits.granted > 0
}
