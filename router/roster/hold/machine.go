package hold

import (
	"maps"
	"time"
)

// Machine is the state of one member. It is not safe for concurrent use.
type Machine interface {
	// Read takes in a store read that began at start and ended now.
	Read(now, start time.Time, r Read)
	// Wrote takes in the end of a write that Propose returned.
	Wrote(now time.Time, w Write, r WriteResult)
	// Registered takes in the registrations that the store shows.
	Registered(now time.Time, registrations []Registration)

	// Round begins a round of asking the other members, and returns whom to
	// ask. Replies to earlier rounds are void from then on.
	Round(now time.Time) (Ask, []Member)
	// Asked answers another member's request.
	Asked(now time.Time, a Ask) Reply
	// Replied takes in the answer to a request of the current round.
	Replied(now time.Time, r Reply)

	// Propose returns the write to attempt next, if there is one. No other
	// is returned until Wrote was called for it.
	Propose(now time.Time) (Write, bool)
	// State returns what is known now.
	State(now time.Time) State
}

// Read is what a store read showed.
type Read struct {
	// View is the zero view where the store has none.
	View View
	// Revision is that of the view's entry; zero where there is none.
	Revision uint64
}

// Write is a compare-and-swap of the view's entry.
type Write struct {
	View View
	// IfRevision is the revision that the entry must have; zero means that
	// it must not exist.
	IfRevision uint64
}

// WriteResult is how a write ended.
type WriteResult int

// The ends of a write.
const (
	// Written is a write that took effect.
	Written WriteResult = iota
	// Overtaken is a failed comparison.
	Overtaken
	// Lost is a write whose answer did not arrive: it may have taken effect
	// or may still do so.
	Lost
)

// Registration is an instance that the store shows.
type Registration struct {
	Member Member
	// Leaving is true for an instance that asks to leave the view.
	Leaving bool
}

// New returns the machine of a member that knows nothing yet.
func New(self Member, t Timing) Machine {
	return &machine{self: self, timing: t, heard: make(map[Member]time.Time)}
}

type machine struct {
	self   Member
	timing Timing

	// view is the newest view known. Its epoch never falls.
	view View
	// seen is when view was first known here, which is after it was written.
	seen time.Time
	// effective is true once no member can act in an epoch before view's.
	effective bool
	// effectiveAt is when effective became true.
	effectiveAt time.Time
	// revision is that of view's entry; zero where it was not read.
	revision uint64
	// settledInStore is true when a read showed view marked as in effect.
	settledInStore bool
	// absent is true when the last read showed no view.
	absent bool

	// hold is the start of the call that renewed the hold at view's epoch
	// last; zero for none.
	hold time.Time
	// read is a time at or before the start of a store read that showed
	// view's epoch, the latest known; zero for none.
	read time.Time

	// promised is until when this member will not acknowledge the epoch
	// after view's; zero for never promised.
	promised time.Time
	// owed is until when this member will not acknowledge view's epoch,
	// from promises that it made at the epoch before.
	owed time.Time

	// acked and released are the members of view.Prior that are known to
	// have acknowledged view's epoch, and to have given up their holds at
	// the one before.
	acked    set[Member]
	released set[Member]

	round round

	registrations []Registration
	registered    bool
	// heard is when a member last replied.
	heard map[Member]time.Time
	// wanted is since when the view differs from what it should be.
	wanted time.Time
	// writing is true from Propose to Wrote.
	writing bool
}

// learn takes in a view from any source.
func (m *machine) learn(now time.Time, v View) {
	if v.Epoch < m.view.Epoch || v.Epoch == 0 {
		return
	}
	if v.Epoch == m.view.Epoch {
		if v.Settled && !m.effective {
			m.settle(now)
		}
		return
	}
	m.owed = time.Time{}
	if v.Epoch == m.view.Epoch+1 {
		m.owed = m.promised
	}
	m.promised = time.Time{}
	m.view = v
	m.seen = now
	m.revision = 0
	m.settledInStore = false
	m.absent = false
	m.hold = time.Time{}
	m.read = time.Time{}
	m.acked = set[Member]{}
	m.released = set[Member]{}
	m.round.epoch = 0
	m.wanted = time.Time{}
	m.effective = false
	maps.DeleteFunc(m.heard, func(other Member, _ time.Time) bool { return !v.Has(other) })
	if v.Settled || len(v.Prior) == 0 {
		m.settle(now)
	}
}

// settle records that view is in effect.
func (m *machine) settle(now time.Time) {
	m.effective = true
	m.effectiveAt = now
	m.view = m.view.WithSettled()
}

func (m *machine) Read(now, start time.Time, r Read) {
	if r.Revision == 0 {
		m.absent = m.view.Epoch == 0
		return
	}
	m.learn(now, r.View)
	if r.View.Epoch != m.view.Epoch {
		return
	}
	m.revision = max(m.revision, r.Revision)
	m.settledInStore = m.settledInStore || r.View.Settled
	m.readAt(start)
	m.advance(now)
}

// readAt takes in that a store read that began at or after t showed the epoch.
func (m *machine) readAt(t time.Time) {
	if t.After(m.read) {
		m.read = t
	}
	m.renew(t)
}

// renew lets the hold last from t on.
func (m *machine) renew(t time.Time) {
	if m.view.Has(m.self) && t.After(m.hold) {
		m.hold = t
	}
}

func (m *machine) Registered(_ time.Time, registrations []Registration) {
	m.registrations = registrations
	m.registered = true
}
