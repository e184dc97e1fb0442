package owner

import (
	"math"

	"cicadawell.dev/router/inventory"
	"github.com/cespare/xxhash/v2"
)

const (
	// fullWeightRatio is the CPU share, relative to the largest one, from which
	// instances have the full weight. An owner needs its CPU time in one place, and
	// the owned work of one shard doesn't grow with the instance that owns it, so
	// that larger instances don't own more.
	fullWeightRatio = 0.5
	// weightExponent makes the weight fall faster than the share below
	// fullWeightRatio: at a linear weight an instance with a fifth of the largest
	// share would still own a fifth of what the largest one owns.
	weightExponent = 4
	// minRatio is the CPU share, relative to the largest one, below which instances
	// are owners only if there are fewer than enoughOwners others.
	minRatio = 0.25
	// enoughOwners lets a key keep a successor when its owner is lost.
	enoughOwners = 2
)

// member is an instance that may be an owner, with its weight among those of its
// zone or of the whole fleet.
type member struct {
	inventory.Instance
	weight float64
	// weak is set if the instance is an owner only if there are too few others.
	weak bool
}

// newMembers returns the members of each zone, and those of the fleet for the zone "".
func newMembers(instances map[string]inventory.Instance, weighted bool) map[string][]member {
	largest := make(map[string]float64)
	for _, i := range instances {
		largest[""] = max(largest[""], i.CPUShare)
		largest[i.Zone] = max(largest[i.Zone], i.CPUShare)
	}
	out := make(map[string][]member)
	for _, i := range instances {
		out[""] = append(out[""], newMember(i, largest[""], weighted))
		if i.Zone != "" {
			out[i.Zone] = append(out[i.Zone], newMember(i, largest[i.Zone], weighted))
		}
	}
	return out
}

// newMember returns an instance with the weight that it has beside another one with the
// largest CPU share. Instances that registered no share have the full weight.
func newMember(i inventory.Instance, largest float64, weighted bool) member {
	if !weighted || i.CPUShare <= 0 {
		return member{Instance: i, weight: 1}
	}
	ratio := i.CPUShare / largest
	return member{Instance: i, weight: min(1, math.Pow(ratio/fullWeightRatio, weightExponent)), weak: ratio < minRatio}
}

// score is the weighted rendezvous hash of an instance for a key. The available
// instance with the highest score is the owner. An instance is chosen in proportion
// to its weight, and the scores of the others don't change when one joins or leaves.
type score struct {
	value float64
	// hash breaks ties, which rounding makes possible.
	hash uint64
}

func newScore(key string, m member) score {
	h := xxhash.Sum64String(key + "/" + m.Name)
	// The upper 53 bits are a number between 0 and 1 without its ends.
	u := (float64(h>>11) + 0.5) / (1 << 53)
	return score{value: -m.weight / math.Log(u), hash: h}
}

// exceeds reports whether a score is higher than another one.
func (s score) exceeds(other score) bool {
	if s.value != other.value {
		return s.value > other.value
	}
	return s.hash > other.hash
}
