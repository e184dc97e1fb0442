package stage

import "time"

// usableMemoryShare is the share of a runner's result memory that is used,
// since the sizes of results are known only approximately.
const usableMemoryShare = 0.9

// resultMemory tracks the memory that results occupy on one runner.
type resultMemory struct {
	// inFlightBytes is the expected size of the results of batches in flight.
	inFlightBytes int64
	// results has the results that were made and not freed, by handle; usedBytes
	// is their size.
	results   map[string]storedResult
	usedBytes int64
	// otherBytes is the size of results that aren't tracked here, as of the last
	// report of the runner, and otherExpiresAt is when the last of them expires.
	otherBytes     int64
	otherExpiresAt time.Time
	// queriedAt is when the runner's free memory was last queried.
	queriedAt time.Time
}

type storedResult struct {
	bytes int64
	// expiresAt is when the runner drops the result by itself.
	expiresAt time.Time
}

func newResultMemory() *resultMemory { return &resultMemory{results: make(map[string]storedResult)} }

// freeBytes returns how many bytes of results still fit.
func (r *resultMemory) freeBytes(limit int64, now time.Time) int64 {
	if r.usedBytes+r.inFlightBytes > 0 {
		for handle, h := range r.results {
			if now.After(h.expiresAt) {
				r.remove(handle)
			}
		}
	}
	if now.After(r.otherExpiresAt) {
		r.otherBytes = 0
	}
	return int64(usableMemoryShare*float64(limit)) - r.usedBytes - r.inFlightBytes - r.otherBytes
}

// observe records the free memory that a runner reported.
func (r *resultMemory) observe(free, limit int64, expiresAt time.Time) {
	r.otherBytes = max(0, limit-free-r.usedBytes-r.inFlightBytes)
	r.otherExpiresAt = expiresAt
}

func (r *resultMemory) add(handle string, bytes int64, expiresAt time.Time) {
	r.results[handle] = storedResult{bytes: bytes, expiresAt: expiresAt}
	r.usedBytes += bytes
}

func (r *resultMemory) remove(handle string) {
	if h, ok := r.results[handle]; ok {
		r.usedBytes -= h.bytes
		delete(r.results, handle)
	}
}

// empty reports whether no results are known to be on the runner or in flight.
func (r *resultMemory) empty() bool {
	return r.inFlightBytes == 0 && len(r.results) == 0 && r.otherBytes == 0
}
