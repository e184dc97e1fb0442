// Package bodies bounds the memory that the bodies of requests in flight take.
package bodies

import "sync/atomic"

// Budget is a number of bytes that all requests share. It takes no lock.
type Budget struct {
	limit int64
	// used never exceeds limit for longer than a failing call of Reserve.
	used atomic.Int64
}

// NewBudget returns a budget of limit bytes.
func NewBudget(limit int64) *Budget { return &Budget{limit: limit} }

// Limit returns the size of the budget.
func (b *Budget) Limit() int64 { return b.limit }

// Used returns how many bytes are reserved.
func (b *Budget) Used() int64 { return b.used.Load() }

// Begin returns a reservation without bytes.
func (b *Budget) Begin() *Reservation { return &Reservation{budget: b} }

// Reservation is the part of a budget that one request has. It is not safe for
// concurrent use.
type Reservation struct {
	budget *Budget
	bytes  int64
}

// Grow adds n bytes to the reservation, or returns false if the budget doesn't have
// them.
func (r *Reservation) Grow(n int64) bool {
	if r.budget.used.Add(n) > r.budget.limit {
		r.budget.used.Add(-n)
		return false
	}
	r.bytes += n
	return true
}

// Release returns all bytes to the budget.
func (r *Reservation) Release() {
	r.budget.used.Add(-r.bytes)
	r.bytes = 0
}
