package entry

import (
	"cicadawell.dev/router/caller"
)

// readiness is ready when all of its elements are ready.
type readiness []caller.Readiness

// Ready returns the error of the first element that is not ready.
func (r readiness) Ready() error {
	for _, part := range r {
		if err := part.Ready(); err != nil {
			return err
		}
	}
	return nil
}
