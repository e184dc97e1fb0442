package takeout

import (
	"cmp"
	"encoding/json"
	"maps"
	"slices"
	"strings"

	"cicadawell.dev/fleet/fault"
	"cicadawell.dev/fleet/operatorapi"
	"github.com/cespare/xxhash/v2"
)

// Kind tells zones and runners apart.
type Kind string

// The kinds of what can be taken out.
const (
	Zone   Kind = "zone"
	Runner Kind = "runner"
)

// Order is the last order on one zone or runner that somebody knows.
type Order struct {
	Kind Kind `json:"kind"`
	operatorapi.Takeout
}

// key identifies what the order is for.
func (o Order) key() string { return string(o.Kind) + "/" + o.Name }

// compare orders the orders on one zone or runner totally: by generation; an
// order out beats one in of the same generation, which is the safe direction;
// then by identifier.
func compare(a, b Order) int {
	if c := cmp.Compare(a.Generation, b.Generation); c != 0 {
		return c
	}
	if a.Out != b.Out {
		if a.Out {
			return 1
		}
		return -1
	}
	return strings.Compare(a.Order, b.Order)
}

// Set is what is out. It is immutable.
type Set struct {
	// orders holds the latest order for each key; an order is only replaced
	// by one that compares greater.
	orders map[string]Order
	// Zones and Runners are those that are out; they must not be changed.
	Zones, Runners map[string]bool
	// hash covers the orders; sets with the same orders have the same hash.
	hash uint64
}

func newSet(orders map[string]Order) *Set {
	s := &Set{orders: orders, Zones: map[string]bool{}, Runners: map[string]bool{}}
	for _, o := range orders {
		data, err := json.Marshal([]any{o.Kind, o.Name, o.Generation, o.Out, o.Order})
		if err == nil {
			s.hash ^= xxhash.Sum64(data)
		}
		if !o.Out {
			continue
		}
		if o.Kind == Zone {
			s.Zones[o.Name] = true
		} else {
			s.Runners[o.Name] = true
		}
	}
	return s
}

// With returns a set with those of orders that are later than what the set
// has, or the set itself when there is none.
func (s *Set) With(orders ...Order) *Set {
	var next map[string]Order
	for _, o := range orders {
		old, ok := s.orders[o.key()]
		if next != nil {
			old, ok = next[o.key()]
		}
		if ok && compare(o, old) <= 0 {
			continue
		}
		if next == nil {
			next = maps.Clone(s.orders)
			if next == nil {
				next = map[string]Order{}
			}
		}
		next[o.key()] = o
	}
	if next == nil {
		return s
	}
	return newSet(next)
}

// Find returns the latest order on a zone or runner; without one its
// generation is zero.
func (s *Set) Find(k Kind, name string) Order {
	o := Order{Kind: k, Takeout: operatorapi.Takeout{Name: name}}
	if found, ok := s.orders[o.key()]; ok {
		return found
	}
	return o
}

// all returns the orders in the order of their keys.
func (s *Set) all() []Order {
	return slices.SortedFunc(maps.Values(s.orders), func(a, b Order) int { return strings.Compare(a.key(), b.key()) })
}

// command is what an operator asks for.
type command struct {
	kind Kind
	name string
	out  bool
	// by and the rest are as in operatorapi.Takeout.
	by    string
	order operatorapi.TakeoutRequest
}

// next returns the order that follows on current for an order out. It is
// given in any case, since out is the safe direction.
func (c command) next(current Order) Order {
	if current.Order == c.order.Order {
		return current
	}
	return Order{Kind: c.kind, Takeout: operatorapi.Takeout{
		Name: c.name, Out: c.out, Generation: current.Generation + 1,
		Order: c.order.Order, By: c.by, Reason: c.order.Reason,
	}}
}

// checkSeen refuses an order in when the operator saw another order than the
// one that stands.
func (c command) checkSeen(current Order) error {
	if c.order.Seen == current.Generation || current.Order == c.order.Order {
		return nil
	}
	state := "in"
	if current.Out {
		state = "out"
	}
	return &conflictError{
		cause: fault.New(fault.Conflict, "you saw generation %d of %s %s; %s ordered it %s with generation %d",
			c.order.Seen, c.kind, c.name, current.By, state, current.Generation),
		stands: current.Takeout,
	}
}

// conflictError is a conflict with the order that stands.
type conflictError struct {
	cause  *fault.Error
	stands operatorapi.Takeout
}

func (e *conflictError) Error() string { return e.cause.Error() }
func (e *conflictError) Unwrap() error { return e.cause }

// Stands tells an operator which order stands.
func (e *conflictError) Stands(r *operatorapi.Refusal) { r.Takeout = &e.stands }
