package catalog_test

import (
	"testing"

	"cicadawell.dev/fleet/bundle"
	"cicadawell.dev/fleet/fault"
	"cicadawell.dev/router/catalog"
	"github.com/matryer/is"
)

func TestAdvanceRejectsOlderVersions(t *testing.T) {
	is := is.New(t)
	var c catalog.Current
	_, err := c.Load()
	is.True(fault.Is(err, fault.NotReady))
	withVersion := func(v uint64) *catalog.Catalog { return catalog.New(bundle.Bundle{Version: v}) }
	is.True(c.Advance(withVersion(2)))
	is.True(!c.Advance(withVersion(1))) // older
	is.True(!c.Advance(withVersion(2))) // the same
	is.Equal(c.Version(), uint64(2))
	is.True(c.Advance(withVersion(3)))
	is.Equal(c.Version(), uint64(3))
}

func TestTeamByKey(t *testing.T) {
	is := is.New(t)
	c := catalog.New(bundle.Bundle{
		Tiers: []bundle.Tier{{ID: "gold", Paying: true}, {ID: "free"}},
		Teams: []bundle.Team{
			{ID: "a", Tier: "gold", KeyHashes: []string{bundle.HashKey("key-a1"), bundle.HashKey("key-a2")}},
			{ID: "b", Tier: "free", KeyHashes: []string{bundle.HashKey("key-b")}},
		},
	})
	for key, want := range map[string]string{"key-a1": "a", "key-a2": "a", "key-b": "b"} {
		team, err := c.TeamByKey(key)
		is.NoErr(err)
		is.Equal(team.ID, want)
		is.Equal(team.Paying, want == "a")
	}
	for _, guess := range []string{"", "key-c", bundle.HashKey("key-b")} {
		_, err := c.TeamByKey(guess)
		is.True(fault.Is(err, fault.Unauthenticated))
	}
}
