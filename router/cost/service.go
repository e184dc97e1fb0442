package cost

import (
	"math"
	"time"
)

// Work is what an engine has to do until the first event of a call.
type Work struct {
	// Tokens are the prompt tokens to process, those of the calls before included.
	Tokens int
	// Running is the number of calls that run beside it.
	Running float64
	// Wait is the time until the engine can begin.
	Wait time.Duration
}

// Times are the times that engines of a service take until a first event.
type Times struct {
	// Overhead is the time for a prompt of no length on an idle engine, Token the time
	// for each prompt token, and Call for each running call.
	Overhead, Token, Call time.Duration
}

// Of returns the time for work.
func (t Times) Of(w Work) time.Duration { return t.Overhead + t.Queue(w) }

// Queue returns the time for work without the overhead.
func (t Times) Queue(w Work) time.Duration {
	return w.Wait + time.Duration(w.Tokens)*t.Token + time.Duration(w.Running*float64(t.Call))
}

const (
	// memory is the factor by which the weight of earlier observations falls with each
	// new one: about the last thousand count.
	memory = 0.999
	// prior is how many observations the initial times are worth.
	prior = 2
	// maxResidual is the deviation, relative to the expected time, from which the weight
	// of an observation falls, so that rare delays don't change the times.
	maxResidual = 0.5
	// maxFactor bounds how far times may differ from the initial ones.
	maxFactor = 4
)

// Service learns the times of a service from observations: least squares with falling
// weights, as factors of the initial times, which stay in force without observations
// and for what these don't tell apart.
type Service struct {
	initial Times
	// factors are those of Overhead, Token and Call.
	factors [3]float64
	// sums and moments are the weighted sums of the products of the parts of the expected
	// time with each other, and with the deviation from it.
	sums    [3][3]float64
	moments [3]float64
}

// NewService returns a service with the initial times.
func NewService(initial Times) *Service {
	return &Service{initial: initial, factors: [3]float64{1, 1, 1}}
}

// Times returns the learned times.
func (s *Service) Times() Times {
	scale := func(d time.Duration, factor float64) time.Duration {
		return time.Duration(math.Round(factor * float64(d)))
	}
	return Times{
		Overhead: scale(s.initial.Overhead, s.factors[0]), Token: scale(s.initial.Token, s.factors[1]), Call: scale(s.initial.Call, s.factors[2]),
	}
}

// Observe records the time to a first event after some work, divided by the ratio of
// the engine that did it. Calls that had to wait show nothing about these times.
func (s *Service) Observe(w Work, observed time.Duration) {
	if w.Wait > 0 {
		return
	}
	expected := s.initial.Of(w).Seconds()
	if observed <= 0 || expected <= 0 {
		return
	}
	parts := [3]float64{
		s.initial.Overhead.Seconds() / expected, float64(w.Tokens) * s.initial.Token.Seconds() / expected,
		w.Running * s.initial.Call.Seconds() / expected,
	}
	learned := 0.0
	for i, part := range parts {
		learned += part * s.factors[i]
	}
	value := observed.Seconds() / expected
	// Deviations are bounded relative to the learned time.
	value = min(max(value, learned*(1-maxResidual)), learned*(1+maxResidual))
	for i := range parts {
		for j := range parts {
			s.sums[i][j] = memory*s.sums[i][j] + parts[i]*parts[j]
		}
		// The parts of the expected time sum up to 1.
		s.moments[i] = memory*s.moments[i] + parts[i]*(value-1)
	}
	s.solve()
}

// solve sets the factors to the least squares solution.
func (s *Service) solve() {
	m := s.sums
	for i := range m {
		m[i][i] += prior
	}
	det := determinant(m)
	if det <= 0 {
		return
	}
	for i := range s.factors {
		replaced := m
		for row := range replaced {
			replaced[row][i] = s.moments[row]
		}
		s.factors[i] = min(max(1.0/maxFactor, 1+determinant(replaced)/det), maxFactor)
	}
}

func determinant(m [3][3]float64) float64 {
	return m[0][0]*(m[1][1]*m[2][2]-m[1][2]*m[2][1]) -
		m[0][1]*(m[1][0]*m[2][2]-m[1][2]*m[2][0]) +
		m[0][2]*(m[1][0]*m[2][1]-m[1][1]*m[2][0])
}
