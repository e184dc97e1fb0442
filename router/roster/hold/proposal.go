package hold

import (
	"slices"
	"time"
)

func (m *machine) Propose(now time.Time) (Write, bool) {
	m.advance(now)
	if m.writing || !m.registered {
		return Write{}, false
	}
	w, ok := m.change(now)
	if !ok {
		m.wanted = time.Time{}
		return Write{}, false
	}
	if m.wanted.IsZero() {
		m.wanted = now
	}
	rank := m.rank()
	if rank < 0 || now.Sub(m.wanted) < time.Duration(rank)*m.timing.ProposalStep {
		return Write{}, false
	}
	m.writing = true
	return w, true
}

// change returns the write that the view needs. A next epoch is written only
// when this one is known to be in effect.
func (m *machine) change(now time.Time) (Write, bool) {
	next := m.desired(now)
	if m.view.Epoch == 0 {
		return Write{View: View{}.WithMembers(next).WithSettled()}, m.absent && len(next) > 0
	}
	if m.revision == 0 || !m.effective {
		return Write{}, false
	}
	if !slices.Equal(next, m.view.Members) {
		return Write{View: m.view.WithMembers(next), IfRevision: m.revision}, true
	}
	return Write{View: m.view, IfRevision: m.revision}, !m.settledInStore
}

// desired returns the members that the view should have: those registered, and
// those of the view that still reply though their registration is missing,
// which the store may have lost during an outage.
func (m *machine) desired(now time.Time) []Member {
	var next []Member
	present := make(map[string]bool)
	for _, r := range m.registrations {
		present[r.Member.ID] = true
		if !r.Leaving {
			next = append(next, r.Member)
		}
	}
	for _, member := range m.view.Members {
		if !present[member.ID] && m.replies(now, member) {
			next = append(next, member)
		}
	}
	slices.SortFunc(next, compareMembers)
	return next
}

func (m *machine) replies(now time.Time, member Member) bool {
	if member == m.self {
		return true
	}
	at, ok := m.heard[member]
	return ok && now.Sub(at) < m.timing.HeardFor
}

// rank returns this member's place among those that may propose, or -1: the
// registered members of the view come first, then the other registered ones.
func (m *machine) rank() int {
	var members, others []Member
	for _, r := range m.registrations {
		switch {
		case m.view.Has(r.Member):
			members = append(members, r.Member)
		default:
			others = append(others, r.Member)
		}
	}
	slices.SortFunc(members, compareMembers)
	slices.SortFunc(others, compareMembers)
	return slices.Index(append(members, others...), m.self)
}

func (m *machine) Wrote(now time.Time, w Write, r WriteResult) {
	m.writing = false
	// Only a read tells the entry's revision after a write.
	m.revision = 0
	m.absent = false
	if r == Written {
		m.learn(now, w.View)
	}
}
