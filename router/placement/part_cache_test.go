package placement

import (
	"fmt"
	"math"
	"testing"

	"cicadawell.dev/router/target"
	"github.com/matryer/is"
)

// smallParts returns a prompt of n new parts of one token each.
func smallParts(prompt, n int) target.Prompt {
	p := target.Prompt{Tokens: n}
	for i := range n {
		p.Parts = append(p.Parts, target.Part{ID: fmt.Sprintf("%d.%d", prompt, i), Tokens: 1})
	}
	return p
}

func TestLeastRecentlyUsedPartsAreDropped(t *testing.T) {
	is := is.New(t)
	c := newPartCache(maxCachedParts)
	shared := target.Part{ID: "shared", Tokens: 60}
	for n := range 10 {
		c.use(target.Prompt{Parts: []target.Part{shared, {ID: fmt.Sprint(n), Tokens: 30}}}, 100)
		is.True(c.has("shared"))
		is.True(c.has(fmt.Sprint(n)))
		is.Equal(c.tokens, 90)
	}
	c.use(target.Prompt{Parts: []target.Part{{ID: "large", Tokens: 1000}}}, 100)
	is.True(c.has("large") && !c.has("shared")) // one part is kept, whatever its size
	is.Equal(c.tokens, 1000)
	c.use(target.Prompt{Parts: []target.Part{{ID: "large", Tokens: 10}}}, 100)
	is.Equal(c.tokens, 10)
}

// TestSmallPartsAreBounded guards against parts of few or no tokens that fill the memory.
func TestSmallPartsAreBounded(t *testing.T) {
	is := is.New(t)
	for _, tokens := range []int{0, 1} {
		c := newPartCache(maxCachedParts)
		for n := range 10 {
			p := smallParts(n, 1700)
			for i := range p.Parts {
				p.Parts[i].Tokens = tokens
			}
			c.use(p, 300_000)
			is.True(c.has(p.Parts[0].ID) && c.has(p.Parts[1699].ID))
		}
		is.Equal(c.tokensOf.Len(), maxCachedParts)
		is.Equal(c.tokens, tokens*maxCachedParts)
	}
}

// TestDroppingPartsBound guards against drops that take longer the more parts there are,
// while placements of all services wait.
func TestDroppingPartsBound(t *testing.T) {
	const parts = 500
	timeOfPrompt := func(limit int) float64 {
		return float64(testing.Benchmark(func(b *testing.B) {
			c := newPartCache(math.MaxInt)
			n := 0
			for ; n*parts < limit; n++ {
				c.use(smallParts(n, parts), limit)
			}
			prompts := make([]target.Prompt, b.N)
			for i := range prompts {
				prompts[i] = smallParts(n+i, parts)
			}
			b.ResetTimer()
			for _, p := range prompts {
				c.use(p, limit)
			}
		}).NsPerOp())
	}
	few, many := timeOfPrompt(2_000), timeOfPrompt(100_000)
	t.Logf("%.0f ns with 2,000 parts, %.0f ns with 100,000", few, many)
	is.New(t).True(many <= 10*few) // 50 times as many
}
