package pool

import "time"

const (
	// admissionFactor is by how much the waits at later stages count when a
	// request is admitted to its first stage.
	admissionFactor = 4
	// admissionGrace is the part of a paying request's time, as a divisor, up
	// to which the waits count once: a burst passes that soon ends.
	admissionGrace = 5
)

// AdmissionWait returns the time that a request with left to go is to keep for
// waits at later stages when it is admitted to its first one. It is more than
// the waits take, so that requests are refused there rather than after work was
// spent on them.
func AdmissionWait(waits, left time.Duration, paying bool) time.Duration {
	if paying && waits < left/admissionGrace {
		return waits
	}
	return admissionFactor * waits
}
