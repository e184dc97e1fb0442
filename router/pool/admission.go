package pool

import "time"

const (
	// admissionFactor multiplies the estimated waits at later stages when a
	// request is admitted to its first stage.
	admissionFactor = 4
	// admissionGrace divides a paying request's remaining time. Waits below the
	// quotient are not multiplied, so that a short burst is admitted.
	admissionGrace = 5
)

// AdmissionReserve returns the time that a request with the given time left
// reserves for waits at later stages when it is admitted to its first stage:
// the estimated waits if they are short enough for a paying request, see
// admissionGrace, else a multiple of them, so that a request that would miss
// its deadline is refused before any work is spent on it.
func AdmissionReserve(waits, left time.Duration, paying bool) time.Duration {
	if paying && waits < left/admissionGrace {
		return waits
	}
	return admissionFactor * waits
}
