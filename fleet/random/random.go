// Package random provides the random sources that are injected into code that needs
// random numbers.
package random

import (
	cryptorand "crypto/rand"
	"math/rand/v2"
	"sync"
)

// Source generates random numbers. It is safe for concurrent use.
type Source interface {
	// IntN returns a random number in [0, n).
	IntN(n int) int
}

// NewSource returns a source with a random seed, which differs in each process.
func NewSource() Source {
	var seed [32]byte
	// crypto/rand.Read never returns an error on the supported systems.
	_, _ = cryptorand.Read(seed[:])
	return &source{rand: rand.New(rand.NewChaCha8(seed))}
}

// NewSeeded returns a source with a fixed seed. Sources with the same seed generate
// the same numbers.
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
