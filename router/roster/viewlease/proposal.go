package viewlease

import (
	"slices"
	"time"
)

func (m *machine) Propose(now time.Time) (ViewWrite, bool) {
	m.advance(now)
	if m.writePending || !m.registrationsKnown {
		return ViewWrite{}, false
	}
	w, ok := m.nextWrite(now)
	if !ok {
		m.changeDueSince = time.Time{}
		return ViewWrite{}, false
	}
	if m.changeDueSince.IsZero() {
		m.changeDueSince = now
	}
	rank := m.proposerRank()
	if rank < 0 || now.Sub(m.changeDueSince) < time.Duration(rank)*m.timing.ProposalStagger {
		return ViewWrite{}, false
	}
	m.writePending = true
	return w, true
}

// nextWrite returns the write that the view needs, if any. It returns a view
// of the next epoch only once the present one is known to be in effect.
func (m *machine) nextWrite(now time.Time) (ViewWrite, bool) {
	next := m.desiredMembers(now)
	if m.view.Epoch == 0 {
		return ViewWrite{View: View{}.WithMembers(next).WithEffective()}, m.viewAbsent && len(next) > 0
	}
	if m.revision == 0 || !m.effective {
		return ViewWrite{}, false
	}
	if !slices.Equal(next, m.view.Members) {
		return ViewWrite{View: m.view.WithMembers(next), IfRevision: m.revision}, true
	}
	return ViewWrite{View: m.view, IfRevision: m.revision}, !m.effectiveInStore
}

// desiredMembers returns the members that the view should have: the registered
// instances that are not leaving, and the members of the view that still reply
// but have no registration, since an outage of the store may have expired it.
func (m *machine) desiredMembers(now time.Time) []Member {
	var next []Member
	present := make(map[string]bool)
	for _, r := range m.registrations {
		present[r.Member.ID] = true
		if !r.Leaving {
			next = append(next, r.Member)
		}
	}
	for _, member := range m.view.Members {
		if !present[member.ID] && m.repliedRecently(now, member) {
			next = append(next, member)
		}
	}
	slices.SortFunc(next, compareMembers)
	return next
}

// repliedRecently reports whether the member has replied within ReplyGrace. It
// is always true for this member.
func (m *machine) repliedRecently(now time.Time, member Member) bool {
	if member == m.self {
		return true
	}
	at, ok := m.lastReply[member]
	return ok && now.Sub(at) < m.timing.ReplyGrace
}

// proposerRank returns this member's position in the order of proposers, or -1
// if it is not registered: the registered members of the view come first, then
// the other registered instances. Proposals are staggered by rank to avoid
// conflicting writes.
func (m *machine) proposerRank() int {
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

func (m *machine) HandleWriteResult(now time.Time, w ViewWrite, r WriteResult) {
	m.writePending = false
	// Only a read shows the entry's revision after a write.
	m.revision = 0
	m.viewAbsent = false
	if r == Written {
		m.adoptView(now, w.View)
	}
}
