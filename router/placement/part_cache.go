package placement

import (
	"slices"

	"cicadawell.dev/router/target"
	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// maxCachedParts bounds the parts that are kept of one engine, since callers choose how
// small parts are. Engines with parts of usual sizes have some hundreds.
const maxCachedParts = 2048

// partCache has the prompt parts that an engine is assumed to have cached. It is not safe
// for concurrent use.
type partCache struct {
	// tokensOf has the size of each part by the hash of its identifier, which may be long,
	// in the order of their last use.
	tokensOf *simplelru.LRU[uint64, int]
	// tokens is the total size.
	tokens int
}

// newPartCache returns an empty cache for a number of parts.
func newPartCache(maxParts int) *partCache {
	c := &partCache{}
	// NewLRU fails for sizes below one only.
	c.tokensOf, _ = simplelru.NewLRU(maxParts, func(_ uint64, tokens int) { c.tokens -= tokens })
	return c
}

func (c *partCache) has(id string) bool { return c.tokensOf.Contains(xxhash.Sum64String(id)) }

// use records that the engine processes a prompt, and drops the least recently used parts
// beyond a total size. Later parts of a prompt are of no use without those before them, so
// they are dropped first.
func (c *partCache) use(p target.Prompt, maxTokens int) {
	for _, part := range slices.Backward(p.Parts) {
		id := xxhash.Sum64String(part.ID)
		old, _ := c.tokensOf.Peek(id)
		c.tokens += part.Tokens - old
		c.tokensOf.Add(id, part.Tokens)
	}
	for c.tokens > maxTokens && c.tokensOf.Len() > 1 {
		c.tokensOf.RemoveOldest()
	}
}
