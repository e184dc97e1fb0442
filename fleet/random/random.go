// Package random passes randomness into the code that needs it.
package random

import (
	cryptorand "crypto/rand"
	"math/rand/v2"
	"sync"
)

// Source draws numbers. It is safe for concurrent use.
type Source interface {
	// IntN returns a number from 0 up to n, without n.
	IntN(n int) int
}

// NewSource returns a source that differs from process to process.
func NewSource() Source {
	var seed [32]byte
	// Read never fails on the systems that this runs on.
	_, _ = cryptorand.Read(seed[:])
	return &source{rand: rand.New(rand.NewChaCha8(seed))}
}

// NewSeeded returns a source that draws the same numbers each time.
func NewSeeded(seed uint64) Source {
	return &source{rand: rand.New(rand.NewPCG(seed, seed))}
}

type source struct {
	mu   sync.Mutex
	rand *rand.Rand
}

func (s *source) IntN(n int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rand.IntN(n)
}
