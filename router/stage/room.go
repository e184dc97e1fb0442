package stage

import "time"

// roomShare is the part of a runner's room that is given out: sizes of results
// are known approximately only.
const roomShare = 0.9

// room is what the results at one runner take.
type room struct {
	// pending is what the batches at the runner will take.
	pending int64
	// held has the results that were made and not given up.
	held map[string]held
	used int64
	// foreign is what others' results take, as found at the runner, and
	// foreignUntil when the runner will have given the last of them up.
	foreign      int64
	foreignUntil time.Time
	// asked is when the runner was asked last.
	asked time.Time
}

type held struct {
	bytes int64
	// until is when the runner gives the result up by itself.
	until time.Time
}

func newRoom() *room { return &room{held: make(map[string]held)} }

// left returns how many bytes of results still fit.
func (r *room) left(limit int64, now time.Time) int64 {
	if r.used+r.pending > 0 {
		for handle, h := range r.held {
			if now.After(h.until) {
				r.free(handle)
			}
		}
	}
	if now.After(r.foreignUntil) {
		r.foreign = 0
	}
	return int64(roomShare*float64(limit)) - r.used - r.pending - r.foreign
}

// found notes how much room a runner said that it has.
func (r *room) found(free, limit int64, until time.Time) {
	r.foreign = max(0, limit-free-r.used-r.pending)
	r.foreignUntil = until
}

func (r *room) hold(handle string, bytes int64, until time.Time) {
	r.held[handle] = held{bytes: bytes, until: until}
	r.used += bytes
}

func (r *room) free(handle string) {
	if h, ok := r.held[handle]; ok {
		r.used -= h.bytes
		delete(r.held, handle)
	}
}

// empty reports whether nothing is known to be at the runner.
func (r *room) empty() bool { return r.pending == 0 && len(r.held) == 0 && r.foreign == 0 }
