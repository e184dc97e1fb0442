// Package catalog holds the bundle in force as an immutable snapshot with
// precomputed lookup maps, for use by requests.
package catalog

import (
	"crypto/sha256"
	"encoding/hex"
	"sync/atomic"

	"cicadawell.dev/fleet/bundle"
	"cicadawell.dev/fleet/fault"
)

// Catalog is a bundle with its lookup maps. It is immutable.
type Catalog struct {
	bundle bundle.Bundle
	// teamsByKeyHash is keyed by the SHA-256 hash of an API key, teamsByID by
	// the team's identifier.
	teamsByKeyHash map[[sha256.Size]byte]Team
	teamsByID      map[string]Team
	pipelines      map[string]bundle.Pipeline
}

// Team is a team with the properties of its tier.
type Team struct {
	bundle.Team
	Paying bool
}

// New returns the catalog of a validated bundle.
func New(b bundle.Bundle) *Catalog {
	c := &Catalog{
		bundle:         b,
		teamsByKeyHash: make(map[[sha256.Size]byte]Team, len(b.Teams)),
		teamsByID:      make(map[string]Team, len(b.Teams)),
		pipelines:      make(map[string]bundle.Pipeline, len(b.Pipelines)),
	}
	paying := map[string]bool{}
	for _, t := range b.Tiers {
		paying[t.ID] = t.Paying
	}
	for _, t := range b.Teams {
		team := Team{Team: t, Paying: paying[t.Tier]}
		c.teamsByID[t.ID] = team
		for _, h := range t.KeyHashes {
			c.teamsByKeyHash[parseHash(h)] = team
		}
	}
	for _, p := range b.Pipelines {
		c.pipelines[p.ID] = p
	}
	return c
}

// parseHash decodes a key hash that was validated together with its bundle.
func parseHash(text string) (sum [sha256.Size]byte) {
	// The error is ignored: a hash that is not hex matches no key.
	_, _ = hex.Decode(sum[:], []byte(text))
	return sum
}

// Bundle returns the bundle in force.
func (c *Catalog) Bundle() bundle.Bundle { return c.bundle }

// TeamByKey returns the team that an API key belongs to. It looks up the hash of
// the key, so that its timing reveals nothing about the keys of teams.
func (c *Catalog) TeamByKey(key string) (Team, error) {
	t, ok := c.teamsByKeyHash[sha256.Sum256([]byte(key))]
	if !ok {
		return Team{}, fault.New(fault.Unauthenticated, "no team has this API key")
	}
	return t, nil
}

// Team returns the team with this identifier.
func (c *Catalog) Team(id string) (Team, bool) {
	t, ok := c.teamsByID[id]
	return t, ok
}

// Pipeline returns the pipeline with this identifier.
func (c *Catalog) Pipeline(id string) (bundle.Pipeline, error) {
	p, ok := c.pipelines[id]
	if !ok {
		return p, fault.New(fault.UnknownPipeline, "found %q, which no pipeline has as its id", id).WithField("pipeline")
	}
	return p, nil
}

// Current holds the catalog in force.
type Current struct {
	p atomic.Pointer[Catalog]
}

// Load returns the catalog in force, or an error of kind NotReady while there is
// none.
func (c *Current) Load() (*Catalog, error) {
	if current := c.p.Load(); current != nil {
		return current, nil
	}
	return nil, fault.New(fault.NotReady, "no bundle is in force yet")
}

// Version returns the version in force, or 0 while there is none.
func (c *Current) Version() uint64 {
	if current := c.p.Load(); current != nil {
		return current.bundle.Version
	}
	return 0
}

// Advance puts next in force if its version is higher than the one in force, and
// reports whether it did.
func (c *Current) Advance(next *Catalog) bool {
	for {
		current := c.p.Load()
		if current != nil && current.bundle.Version >= next.bundle.Version {
			return false
		}
		if c.p.CompareAndSwap(current, next) {
			return true
		}
	}
}
