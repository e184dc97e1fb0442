// Package catalog holds the bundle in force in the form that a request reads:
// one immutable snapshot with its look-ups made beforehand.
package catalog

import (
	"crypto/sha256"
	"encoding/hex"
	"sync/atomic"

	"cicadawell.dev/fleet/bundle"
	"cicadawell.dev/fleet/fault"
)

// Catalog is a bundle with its look-ups. It is immutable.
type Catalog struct {
	bundle bundle.Bundle
	// teams is by the SHA-256 hash of an API key, byID by the team's
	// identifier.
	teams     map[[sha256.Size]byte]Team
	byID      map[string]Team
	pipelines map[string]bundle.Pipeline
}

// Team is a team with what its tier says.
type Team struct {
	bundle.Team
	Paying bool
}

// New returns the catalog of a checked bundle.
func New(b bundle.Bundle) *Catalog {
	c := &Catalog{
		bundle:    b,
		teams:     make(map[[sha256.Size]byte]Team, len(b.Teams)),
		byID:      make(map[string]Team, len(b.Teams)),
		pipelines: make(map[string]bundle.Pipeline, len(b.Pipelines)),
	}
	paying := map[string]bool{}
	for _, t := range b.Tiers {
		paying[t.ID] = t.Paying
	}
	for _, t := range b.Teams {
		team := Team{Team: t, Paying: paying[t.Tier]}
		c.byID[t.ID] = team
		for _, h := range t.KeyHashes {
			c.teams[parseHash(h)] = team
		}
	}
	for _, p := range b.Pipelines {
		c.pipelines[p.ID] = p
	}
	return c
}

// parseHash returns the bytes of a hash that the bundle's check has seen.
func parseHash(text string) (sum [sha256.Size]byte) {
	// A hash that is not hex belongs to no key.
	_, _ = hex.Decode(sum[:], []byte(text))
	return sum
}

// Bundle returns the bundle in force.
func (c *Catalog) Bundle() bundle.Bundle { return c.bundle }

// TeamByKey returns the team that an API key belongs to, by its hash: a look-up
// by hash tells nothing about keys by the time it takes.
func (c *Catalog) TeamByKey(key string) (Team, error) {
	t, ok := c.teams[sha256.Sum256([]byte(key))]
	if !ok {
		return Team{}, fault.New(fault.Unauthenticated, "no team has this API key")
	}
	return t, nil
}

// Team returns the team with this identifier.
func (c *Catalog) Team(id string) (Team, bool) {
	t, ok := c.byID[id]
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

// Load returns the catalog in force, or an error of kind NotReady before the
// first.
func (c *Current) Load() (*Catalog, error) {
	if now := c.p.Load(); now != nil {
		return now, nil
	}
	return nil, fault.New(fault.NotReady, "no bundle is in force yet")
}

// Version returns the version in force, or 0 before the first.
func (c *Current) Version() uint64 {
	if now := c.p.Load(); now != nil {
		return now.bundle.Version
	}
	return 0
}

// Advance puts next in force when its version is higher than the one in force,
// and reports whether it did.
func (c *Current) Advance(next *Catalog) bool {
	for {
		now := c.p.Load()
		if now != nil && now.bundle.Version >= next.bundle.Version {
			return false
		}
		if c.p.CompareAndSwap(now, next) {
			return true
		}
	}
}
