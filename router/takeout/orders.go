package takeout

import (
	"cmp"
	"context"
	"slices"

	"cicadawell.dev/fleet/fault"
	"cicadawell.dev/fleet/operatorapi"
)

// maxTries bounds the tries to write an order in.
const maxTries = 10

// Orders is the operators' interface for zones or for runners.
type Orders struct {
	node *node
	kind Kind
}

// Of returns the operators' interface for one kind.
func (n *node) Of(k Kind) *Orders { return &Orders{node: n, kind: k} }

// List returns a row for each zone or runner of the bundle in force and for
// each that is out.
func (o *Orders) List(ctx context.Context) ([]operatorapi.TakeoutStatus, error) {
	n := o.node
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if _, err := n.readStore(call); err != nil {
		n.log.Debug("store does not tell which orders it holds", "error", err)
	}
	others := n.sendAll(ctx)
	rows := o.names()
	for i := range rows {
		order := n.Current().Find(o.kind, rows[i].Name)
		o.fill(&rows[i], order, others)
	}
	return rows, nil
}

// names returns the rows of the topology and those of orders on names that it
// does not have, in ascending order.
func (o *Orders) names() []operatorapi.TakeoutStatus {
	rows := o.node.topology.Names(o.kind)
	for _, order := range o.node.Current().all() {
		known := slices.ContainsFunc(rows, func(r operatorapi.TakeoutStatus) bool { return r.Name == order.Name })
		if order.Kind == o.kind && order.Out && !known {
			rows = append(rows, operatorapi.TakeoutStatus{Takeout: order.Takeout})
		}
	}
	slices.SortFunc(rows, func(a, b operatorapi.TakeoutStatus) int { return cmp.Compare(a.Name, b.Name) })
	return rows
}

// fill sets what is known of the order in a row.
func (o *Orders) fill(row *operatorapi.TakeoutStatus, order Order, others []heldAt) {
	row.Takeout = order.Takeout
	row.Stored = o.node.isStored(order)
	row.Holding = []string{o.node.view.Self().ID}
	for _, h := range others {
		if h.holds(order, o.node.Current()) {
			row.Holding = append(row.Holding, h.id)
		} else {
			row.Waiting = append(row.Waiting, waiting(h))
		}
	}
	slices.Sort(row.Holding)
}

func waiting(h heldAt) operatorapi.Waiting {
	w := operatorapi.Waiting{Instance: h.id, Reason: "has not taken the order in yet"}
	if h.err != nil {
		w.Reason = "does not answer: " + h.err.Error()
	}
	return w
}

// check refuses a name that the bundle in force does not have and that no
// order is on.
func (o *Orders) check(name string) error {
	for _, r := range o.node.topology.Names(o.kind) {
		if r.Name == name {
			return nil
		}
	}
	if o.node.Current().Find(o.kind, name).Generation > 0 {
		return nil
	}
	return fault.New(fault.NotFound, "no %s %q", o.kind, name).WithField(string(o.kind))
}

// Out takes name out. It is in force here at once; the order is acknowledged
// when the store or another instance holds it, so that it outlives this
// instance.
func (o *Orders) Out(ctx context.Context, by, name string, r operatorapi.TakeoutRequest) (operatorapi.TakeoutStatus, error) {
	if err := o.check(name); err != nil {
		return operatorapi.TakeoutStatus{}, err
	}
	n := o.node
	c := command{kind: o.kind, name: name, out: true, by: by, order: r}
	unread := n.lookUp(ctx, n.Current().Find(o.kind, name))
	s := n.orderOut(ctx, c)
	if latest := n.Current().Find(o.kind, name); unread != nil && !latest.Out {
		// An order in that this instance could not have heard of is later;
		// the operator's order follows on it.
		s = n.orderOut(ctx, c)
	}
	row := s.known(n.view.Self().ID)
	if !row.Stored && len(row.Holding) < 2 {
		return row, fault.New(fault.StoreUnavailable,
			"%s %s is out on %s only; neither the store nor another instance holds the order yet", o.kind, name, row.Holding[0]).
			WithOutcome(fault.Unknown)
	}
	return row, nil
}

// lookUp takes in what the store holds for one zone or runner, if it answers
// soon.
func (n *node) lookUp(ctx context.Context, of Order) error {
	call, cancel := context.WithTimeout(ctx, lookUpPatience)
	defer cancel()
	_, err := n.read(call, of)
	return err
}

// orderOut brings an order out in force here and sends it to all.
func (n *node) orderOut(ctx context.Context, c command) *spreading {
	order := c.next(n.Current().Find(c.kind, c.name))
	if order.At.IsZero() {
		order.At = n.now()
	}
	n.merge(order)
	return n.begin(ctx, order)
}

// In brings name back. It is in force nowhere before the store holds it.
func (o *Orders) In(ctx context.Context, by, name string, r operatorapi.TakeoutRequest) (operatorapi.TakeoutStatus, error) {
	if err := o.check(name); err != nil {
		return operatorapi.TakeoutStatus{}, err
	}
	c := command{kind: o.kind, name: name, by: by, order: r}
	order, err := o.node.writeIn(ctx, c)
	if err != nil {
		return operatorapi.TakeoutStatus{}, err
	}
	o.node.merge(order)
	return o.node.begin(ctx, order).known(o.node.view.Self().ID), nil
}

// writeIn writes an order in to the store. A lost answer is resolved by reading
// back: the order that stands then carries the same identifier.
func (n *node) writeIn(ctx context.Context, c command) (Order, error) {
	var last error
	at := n.now()
	for range maxTries {
		of := n.Current().Find(c.kind, c.name)
		s, err := n.read(ctx, of)
		if err == nil {
			current := n.Current().Find(c.kind, c.name)
			if err := c.checkSeen(current); err != nil {
				return Order{}, err
			}
			if s.Order.Order == c.order.Order {
				return s.Order, nil
			}
			next := c.next(current)
			next.At = at
			if err = n.write(ctx, s, next); err == nil {
				return next, nil
			}
		}
		last = err
		if !fault.Is(err, fault.Conflict) && !fault.Is(err, fault.StoreUnavailable) {
			return Order{}, err
		}
		if n.clock.Sleep(ctx, retryPause/maxTries) != nil {
			break
		}
	}
	return Order{}, last
}
