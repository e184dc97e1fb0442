package owner_test

import (
	"fmt"
	"testing"
	"time"

	"cicadawell.dev/fleet/clock"
	"cicadawell.dev/router/inventory"
	"cicadawell.dev/router/owner"
	"github.com/matryer/is"
)

func newFinder(names ...string) (owner.Finder, *clock.Manual) {
	clk := clock.NewManual(time.Unix(1000, 0))
	current := inventory.NewCurrent(clk)
	s := &inventory.Snapshot{Revision: 1, Instances: map[string]inventory.Instance{}}
	for _, name := range names {
		s.Instances[name] = inventory.Instance{Name: name}
	}
	current.Advance(s)
	return owner.NewFinder(clk, current), clk
}

func TestInstancesFindTheSameOwners(t *testing.T) {
	is := is.New(t)
	one, _ := newFinder("a", "b", "c")
	two, _ := newFinder("c", "b", "a")
	owners := map[string]bool{}
	for i := range 30 {
		key := fmt.Sprint("matter", i)
		is.Equal(one.Of(key), two.Of(key))
		owners[one.Of(key)] = true
	}
	is.Equal(len(owners), 3)
	none, _ := newFinder()
	is.Equal(none.Of("matter"), "")
}

func TestSuccessorsStandInForAWhile(t *testing.T) {
	is := is.New(t)
	f, clk := newFinder("a", "b")
	first := f.Of("m")
	lost, stopped := 0, 0
	f.Watch(first, func() { lost++ })
	f.Watch(first, func() { stopped++ })()
	f.MarkUnavailable(first)
	f.MarkUnavailable(first)
	is.Equal(lost, 1)
	is.Equal(stopped, 0)
	second := f.Of("m")
	is.True(second != first)
	f.MarkUnavailable(second)
	is.Equal(f.Of("m"), "")
	clk.Advance(6 * time.Second)
	is.Equal(f.Of("m"), first)
}

func TestInstancesThatRegisterAnewAreBackAtOnce(t *testing.T) {
	is := is.New(t)
	clk := clock.NewManual(time.Unix(1000, 0))
	current := inventory.NewCurrent(clk)
	register := func(revision int64) {
		current.Advance(&inventory.Snapshot{Revision: revision, Instances: map[string]inventory.Instance{"a": {Name: "a", Revision: revision}}})
	}
	register(1)
	f := owner.NewFinder(clk, current)
	f.MarkUnavailable("a")
	is.Equal(f.Of("m"), "")
	register(2)
	is.Equal(f.Of("m"), "a")
}
