package owner_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"cicadawell.dev/fleet/clock"
	"cicadawell.dev/router/era"
	"cicadawell.dev/router/inventory"
	"cicadawell.dev/router/owner"
	"cicadawell.dev/router/shard"
	"github.com/matryer/is"
)

// fleet returns a finder over instances with CPU shares, all in one zone.
func fleet(shares map[string]float64, opts ...owner.Option) owner.Finder {
	clk := clock.NewManual(time.Unix(1000, 0))
	current := inventory.NewCurrent(clk)
	s := &inventory.Snapshot{Revision: era.New(0, 1), Instances: map[string]inventory.Instance{}}
	for name, share := range shares {
		s.Instances[name] = inventory.Instance{Name: name, Zone: "z", CPUShare: share}
	}
	current.Advance(s)
	return owner.NewFinder(clk, current, opts...)
}

const manyKeys = 6_000

func key(i int) string { return fmt.Sprint("matter", i) }

// counts returns how many keys each instance owns.
func counts(f owner.Finder) map[string]int {
	out := map[string]int{}
	for i := range manyKeys {
		out[f.OfShard(key(i), shard.Shard{Service: "s", Zone: "z"})]++
	}
	return out
}

// mixedShares are those of a zone with instances of all sizes.
func mixedShares() map[string]float64 {
	return map[string]float64{"weakest": 0.144, "weak": 0.19, "lower": 0.3, "middle": 0.45, "upper": 0.6, "largest": 0.8}
}

// TestWeakInstancesOwnFew guards against shards of busy services owned by instances
// that can't bear them.
func TestWeakInstancesOwnFew(t *testing.T) {
	is := is.New(t)
	n := counts(fleet(mixedShares()))
	is.Equal(n["weakest"]+n["weak"], 0)
	is.True(n["lower"] > manyKeys/20 && n["lower"] < manyKeys/8) // (0.3/0.4)^4 of the others
	for _, name := range []string{"middle", "upper", "largest"} {
		is.True(n[name] > manyKeys*27/100 && n[name] < manyKeys*33/100)
	}
	is.True(counts(fleet(mixedShares(), owner.WithWeights(false)))["weakest"] > manyKeys/8)
}

// TestWeakInstancesOwnWhatIsLeft removes the others one by one: keys have an owner as
// long as there is an instance, and the weak ones stand in for the last but one.
func TestWeakInstancesOwnWhatIsLeft(t *testing.T) {
	is := is.New(t)
	f := fleet(mixedShares())
	for _, name := range []string{"lower", "middle", "upper"} {
		f.MarkUnavailable(name)
	}
	n := counts(f)
	is.True(n["weakest"]+n["weak"] > 0)
	is.True(n["largest"] > 9*(n["weakest"]+n["weak"]))
	f.MarkUnavailable("largest")
	n = counts(f)
	is.True(n["weak"] > n["weakest"] && n["weakest"] > 0)
	f.MarkUnavailable("weak")
	is.Equal(f.Of("m"), "weakest")
}

// TestAlikeInstancesOwnAsWithoutWeights guards against owners that differ between
// builds, and against an uneven spread, in fleets with shares within a factor of two.
func TestAlikeInstancesOwnAsWithoutWeights(t *testing.T) {
	is := is.New(t)
	shares := map[string]float64{"older": 0}
	random := rand.New(rand.NewPCG(1, 2))
	for i := range 30 {
		shares[fmt.Sprint("instance", i)] = 0.4 + 0.4*random.Float64()
	}
	weighted, plain := fleet(shares), fleet(shares, owner.WithWeights(false))
	for i := range 2000 {
		is.Equal(weighted.Of(key(i)), plain.Of(key(i)))
		is.Equal(weighted.Ranked(key(i), 3), plain.Ranked(key(i), 3))
	}
}

// TestFewKeysMoveWhenInstancesComeAndGo also takes away the largest instance, by which
// the weights are measured.
func TestFewKeysMoveWhenInstancesComeAndGo(t *testing.T) {
	is := is.New(t)
	shares := map[string]float64{"largest": 0.8}
	for i := range 19 {
		shares[fmt.Sprint("instance", i)] = 0.144 + 0.033*float64(i)
	}
	const keys = 4000
	owners := func(f owner.Finder) []string {
		out := make([]string, keys)
		for i := range out {
			out[i] = f.Of(key(i))
		}
		return out
	}
	before := owners(fleet(shares))
	for _, gone := range []string{"largest", "instance18", "instance10", "instance3", "instance0"} {
		rest := maps.Clone(shares)
		delete(rest, gone)
		owned, moved := 0, 0
		for i, name := range owners(fleet(rest)) {
			if before[i] == gone {
				owned++
			}
			if before[i] != name {
				moved++
			}
		}
		t.Logf("%s owned %d keys, %d moved", gone, owned, moved)
		// The keys of the instance move; with the largest one, the weights of those below
		// half of it change too. One n-th of the keys may move in either case.
		is.True(moved >= owned)
		is.True(moved-owned <= keys/len(shares))
		if gone != "largest" {
			is.Equal(moved, owned)
		}
	}
}

func TestInstancesAgreeOnWeightedOwners(t *testing.T) {
	is := is.New(t)
	one, two := fleet(mixedShares()), fleet(mixedShares())
	for i := range 500 {
		is.Equal(one.Of(key(i)), two.Of(key(i)))
		is.Equal(one.Ranked(key(i), 6), two.Ranked(key(i), 6))
		is.Equal(one.Ranked(key(i), 1)[0], one.Of(key(i)))
	}
}

// TestRankedIncludesWeakInstancesLast guards against keys with too few successors.
func TestRankedIncludesWeakInstancesLast(t *testing.T) {
	is := is.New(t)
	f := fleet(mixedShares())
	for i := range 100 {
		all := f.Ranked(key(i), 6)
		is.Equal(len(all), 6)
		last := slices.Sorted(slices.Values(all[4:]))
		is.Equal(last, []string{"weak", "weakest"})
	}
}

// busyShare returns the share of keys owned by instances that use more than their CPU
// share: each of the owned keys takes need, besides the work on calls, which takes base.
func busyShare(f owner.Finder, shares map[string]float64, keys int, need, base float64) float64 {
	owned := map[string]int{}
	for i := range keys {
		owned[f.Of(key(i))]++
	}
	over := 0
	for name, n := range owned {
		if base+need*float64(n) > shares[name] {
			over += n
		}
	}
	return float64(over) / float64(keys)
}

// TestBusyKeysFindInstancesThatBearThem plays owners of busy shards: a mean instance
// uses 0.02 of a core, the owner of a shard 0.076 more, and the weakest have 0.144.
// An instance is taken to be late above two thirds of its share.
func TestBusyKeysFindInstancesThatBearThem(t *testing.T) {
	is := is.New(t)
	shares, usable := map[string]float64{}, map[string]float64{}
	for i := range 26 {
		name := fmt.Sprint("instance", i)
		shares[name] = 0.144 + 0.656*float64(i)/25
		usable[name] = shares[name] * 2 / 3
	}
	with := busyShare(fleet(shares), usable, 20, 0.076, 0.02)
	without := busyShare(fleet(shares, owner.WithWeights(false)), usable, 20, 0.076, 0.02)
	t.Logf("keys of overloaded owners: %.2f with weights, %.2f without", with, without)
	is.True(with < 0.15)
	is.True(without > with)
}

// TestOwnerBound bounds the allocations of a choice, which every call makes several
// times.
func TestOwnerBound(t *testing.T) {
	is := is.New(t)
	f := fleet(mixedShares())
	f.Of("m")
	is.True(testing.AllocsPerRun(100, func() { f.Of("m") }) <= 6) // one for each instance at most: the key that is hashed
}
