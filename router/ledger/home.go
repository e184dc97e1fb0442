package ledger

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Roster tells who is home.
type Roster interface {
	// View returns the view in effect, as far as this instance knows.
	View() View
	// Check returns nil while this instance may act as home in the view of
	// this epoch. It reads the clock.
	Check(epoch uint64) error
}

// View is a set of members that share the keys between them.
type View struct {
	// Epoch grows with each change.
	Epoch uint64
	// Members are identifiers in ascending order.
	Members []string
	// Since is when this instance began to act in this view, by its clock.
	// The zero time vouches that no other instance was ever home.
	Since time.Time
}

// Home returns the member that is home for a team's key, or "" in a view
// without members.
func (v View) Home(team, key string) string {
	var home string
	var best uint64
	for _, id := range v.Members {
		weight := weigh(id, team, key)
		if home == "" || weight > best {
			home, best = id, weight
		}
	}
	return home
}

// weigh returns the rendezvous weight of a member for a team's key.
func weigh(id, team, key string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(id)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(team)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(key)
	return d.Sum64()
}

// FixedRoster returns a roster whose view never changes.
func FixedRoster(members ...string) Roster {
	return fixedRoster{View{Epoch: 1, Members: members}}
}

type fixedRoster struct{ view View }

func (f fixedRoster) View() View { return f.view }

func (f fixedRoster) Check(uint64) error { return nil }
