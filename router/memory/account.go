// Package memory accounts for the memory that a process holds for callers and runners.
// Nothing waits for memory: what is not available is refused, and the holder decides
// what that means for its call.
package memory

import (
	"errors"
	"sync/atomic"
)

// ErrShort is the error of whatever could not be held because the account lacks the
// memory.
var ErrShort = errors.New("the memory for callers and runners is in use")

// Use is what memory is held for.
type Use int

// The uses of memory, each with an upper bound of its own, so that none of them can take
// the whole account.
const (
	// Connections are the open connections of callers.
	Connections Use = iota
	// Calls are the calls in progress, with the connections to their runners.
	Calls
	// Headers are headers of requests above the usual size.
	Headers
	// Bodies are bodies of requests.
	Bodies
	// Answers are answers and events of runners that their callers have not read yet.
	Answers
	uses
)

func (u Use) String() string {
	return [...]string{"connections", "calls", "headers", "bodies", "answers"}[u]
}

// Uses returns all uses.
func Uses() []Use { return []Use{Connections, Calls, Headers, Bodies, Answers} }

// The parts of the memory of a process that its account and single uses may take. The
// rest is for the program itself: its code, what it knows of the fleet, and garbage.
const (
	// accountRatio is the sum of bodyRatio and of 36 KiB, the measured cost of a call in
	// progress, for 1,000 calls on the smallest machine, which has 144 MB.
	accountRatio = 0.70
	bodyRatio    = 0.45
	// answerRatio leaves bodies two thirds of their memory while callers read slowly.
	answerRatio = 0.15
	headerRatio = 0.10
)

// Account bounds the memory that is held for all uses together and for each of them. It
// takes no lock.
type Account struct {
	limit  int64
	limits [uses]int64
	// used and byUse never exceed their limits for longer than a failing call of take.
	used    atomic.Int64
	byUse   [uses]atomic.Int64
	refused [uses]atomic.Int64
	reclaim func(bytes int64)
}

// NewAccount returns the account of a process that has a number of bytes of memory.
func NewAccount(processBytes int64) *Account {
	part := func(ratio float64) int64 { return int64(ratio * float64(processBytes)) }
	a := &Account{limit: part(accountRatio)}
	a.limits = [uses]int64{Connections: a.limit, Calls: a.limit, Headers: part(headerRatio), Bodies: part(bodyRatio), Answers: part(answerRatio)}
	return a
}

// OnShort sets what is called where memory is lacking and could be had from slow
// callers. It has to return soon. It must be set before the account is used.
func (a *Account) OnShort(reclaim func(bytes int64)) { a.reclaim = reclaim }

// Used returns how many bytes are held for a use.
func (a *Account) Used(u Use) int64 { return a.byUse[u].Load() }

// Limit returns how many bytes may be held for all uses together.
func (a *Account) Limit() int64 { return a.limit }

// Refused returns how often memory was refused to a use.
func (a *Account) Refused(u Use) int64 { return a.refused[u].Load() }

func (a *Account) take(u Use, n int64) bool {
	if a.byUse[u].Add(n) <= a.limits[u] {
		if a.used.Add(n) <= a.limit {
			return true
		}
		a.used.Add(-n)
	}
	a.byUse[u].Add(-n)
	a.refused[u].Add(1)
	return false
}

func (a *Account) giveBack(u Use, n int64) {
	a.byUse[u].Add(-n)
	a.used.Add(-n)
}

// Begin returns a reservation without bytes, or nil for a nil account.
func (a *Account) Begin() *Reservation {
	if a == nil {
		return nil
	}
	return &Reservation{account: a}
}

// Reservation is the memory that one holder has. A nil reservation is unbounded. Held may
// be called at any time; Release ends the reservation.
type Reservation struct {
	account *Account
	bytes   [uses]atomic.Int64
}

// Grow adds n bytes for a use, or returns false if the account lacks them.
func (r *Reservation) Grow(u Use, n int64) bool {
	if r == nil || n <= 0 {
		return true
	}
	if !r.account.take(u, n) {
		return false
	}
	r.bytes[u].Add(n)
	return true
}

// GrowOrReclaim is Grow, and has memory reclaimed for others if there is none. It doesn't
// wait for that.
func (r *Reservation) GrowOrReclaim(u Use, n int64) bool {
	if r.Grow(u, n) {
		return true
	}
	if r.account.reclaim != nil {
		r.account.reclaim(n)
	}
	return false
}

// Free returns all bytes of a use to the account.
func (r *Reservation) Free(u Use) {
	if r == nil {
		return
	}
	if n := r.bytes[u].Swap(0); n > 0 {
		r.account.giveBack(u, n)
	}
}

// Release returns all bytes to the account.
func (r *Reservation) Release() {
	for u := range uses {
		r.Free(u)
	}
}

// Held returns how many bytes the reservation has.
func (r *Reservation) Held() int64 {
	if r == nil {
		return 0
	}
	sum := int64(0)
	for u := range r.bytes {
		sum += r.bytes[u].Load()
	}
	return sum
}

// For returns the part of the reservation for one use.
func (r *Reservation) For(u Use) Part { return Part{reservation: r, use: u} }

// Part is a reservation for one use.
type Part struct {
	reservation *Reservation
	use         Use
}

// Grow is GrowOrReclaim of the reservation.
func (p Part) Grow(n int64) bool { return p.reservation.GrowOrReclaim(p.use, n) }

// After returns a reservation of which the first bytes need no memory of the account.
func (p Part) After(free int64) *PartAfter { return &PartAfter{part: p, free: free} }

// PartAfter is a Part whose first bytes are free. It is not safe for concurrent use.
type PartAfter struct {
	part Part
	free int64
}

// Grow adds n bytes, or returns false if the account lacks them.
func (p *PartAfter) Grow(n int64) bool {
	free := min(n, p.free)
	p.free -= free
	return p.part.Grow(n - free)
}
