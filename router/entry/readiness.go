package entry

import (
	"cicadawell.dev/router/caller"
)

// readiness is ready when all of its parts are.
type readiness []caller.Readiness

// Ready returns the first part's error.
func (r readiness) Ready() error {
	for _, part := range r {
		if err := part.Ready(); err != nil {
			return err
		}
	}
	return nil
}
