package placement

import (
	"math"
	"slices"

	"cicadawell.dev/router/target"
	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// partCache has the prompt parts that an engine is assumed to have cached. It is not safe
// for concurrent use.
type partCache struct {
	// tokensOf has the size of each part, in the order of their last use.
	tokensOf *simplelru.LRU[string, int]
	// tokens is the total size.
	tokens int
}

func newPartCache() *partCache {
	c := &partCache{}
	// NewLRU fails for sizes below one only.
	c.tokensOf, _ = simplelru.NewLRU(math.MaxInt, func(_ string, tokens int) { c.tokens -= tokens })
	return c
}

func (c *partCache) has(id string) bool { return c.tokensOf.Contains(id) }

// use records that the engine processes a prompt, and drops the least recently used parts
// beyond a total size. Later parts of a prompt are of no use without those before them, so
// they are dropped first.
func (c *partCache) use(p target.Prompt, maxTokens int) {
	for _, part := range slices.Backward(p.Parts) {
		old, _ := c.tokensOf.Peek(part.ID)
		c.tokens += part.Tokens - old
		c.tokensOf.Add(part.ID, part.Tokens)
	}
	for c.tokens > maxTokens && c.tokensOf.Len() > 1 {
		c.tokensOf.RemoveOldest()
	}
}
