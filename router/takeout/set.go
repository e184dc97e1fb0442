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

// Kind distinguishes zones from runners.
type Kind string

// The kinds that can be taken out.
const (
	Zone   Kind = "zone"
	Runner Kind = "runner"
)

// Order is an order that takes one zone or runner out or brings it back.
type Order struct {
	Kind Kind `json:"kind"`
	operatorapi.Takeout
}

// key identifies the zone or runner of the order.
func (o Order) key() string { return string(o.Kind) + "/" + o.Name }

// compare defines a total order of the orders on one zone or runner: by
// generation; at the same generation a take-out order wins over a bring-back
// order, which is the safe direction; then by identifier.
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

// Set is an immutable snapshot of the latest orders and of what is out.
type Set struct {
	// orders holds the latest order for each key; an order is only replaced
	// by one that compares greater.
	orders map[string]Order
	// Zones and Runners are the zones and the runners that are out. They must
	// not be changed.
	Zones, Runners map[string]bool
	// hash covers the orders: sets with the same orders have the same hash.
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

// With returns a set that includes each of orders that is later than the set's
// own on the same key. It returns the set itself when none is later.
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

// Find returns the latest order on a zone or runner. When there is none, the
// generation of the result is zero.
func (s *Set) Find(k Kind, name string) Order {
	o := Order{Kind: k, Takeout: operatorapi.Takeout{Name: name}}
	if found, ok := s.orders[o.key()]; ok {
		return found
	}
	return o
}

// all returns the orders, sorted by key.
func (s *Set) all() []Order {
	return slices.SortedFunc(maps.Values(s.orders), func(a, b Order) int { return strings.Compare(a.key(), b.key()) })
}

// command is an operator's command.
type command struct {
	kind Kind
	name string
	out  bool
	// by identifies the operator, as in operatorapi.Takeout.
	by      string
	request operatorapi.TakeoutRequest
}

// next returns the order that the command makes as the successor of current, or
// current if it is this command's order already. It does not check the request's
// ExpectedGeneration: a take-out order is carried out in any case, since that is
// the safe direction. For a bring-back order, call checkGeneration first.
func (c command) next(current Order) Order {
	if current.Order == c.request.OrderID {
		return current
	}
	return Order{Kind: c.kind, Takeout: operatorapi.Takeout{
		Name: c.name, Out: c.out, Generation: current.Generation + 1,
		Order: c.request.OrderID, By: c.by, Reason: c.request.Reason,
	}}
}

// checkGeneration returns a conflict unless current has the request's
// ExpectedGeneration or is this command's order already.
func (c command) checkGeneration(current Order) error {
	if c.request.ExpectedGeneration == current.Generation || current.Order == c.request.OrderID {
		return nil
	}
	state := "in"
	if current.Out {
		state = "out"
	}
	return &conflictError{
		cause: fault.New(fault.Conflict, "you saw generation %d of %s %s; %s ordered it %s with generation %d",
			c.request.ExpectedGeneration, c.kind, c.name, current.By, state, current.Generation),
		current: current.Takeout,
	}
}

// conflictError is a conflict with the current order.
type conflictError struct {
	cause   *fault.Error
	current operatorapi.Takeout
}

func (e *conflictError) Error() string { return e.cause.Error() }
func (e *conflictError) Unwrap() error { return e.cause }

// AddCurrentState adds the current order to the error response to an operator.
func (e *conflictError) AddCurrentState(r *operatorapi.ErrorResponse) { r.Takeout = &e.current }
