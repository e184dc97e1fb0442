package rollout

import "gonum.org/v1/gonum/mathext"

// upperTail returns the probability of at least k successes in n trials that succeed
// with probability p each. Numbers between integers interpolate.
func upperTail(k, n, p float64) float64 {
	switch {
	case k <= 0 || p >= 1:
		return 1
	case k > n || p <= 0:
		return 0
	}
	return mathext.RegIncBeta(k, n-k+1, p)
}
