package takeout

import (
	"cmp"
	"context"
	"slices"

	"cicadawell.dev/fleet/fault"
	"cicadawell.dev/fleet/operatorapi"
)

// maxTries bounds the attempts to write a bring-back order to the store.
const maxTries = 10

// Orders is the operators' interface for zones or for runners.
type Orders struct {
	node *node
	kind Kind
}

// OperatorOrders returns the operators' interface for one kind.
func (n *node) OperatorOrders(k Kind) *Orders { return &Orders{node: n, kind: k} }

// List returns a row for each zone or runner of the bundle in force, and for each
// other one that is out.
func (o *Orders) List(ctx context.Context) ([]operatorapi.TakeoutStatus, error) {
	n := o.node
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if _, err := n.readStore(call); err != nil {
		n.log.Debug("cannot read the orders from the store", "error", err)
	}
	others := n.sendAll(ctx)
	rows := o.statusRows()
	for i := range rows {
		order := n.Current().Find(o.kind, rows[i].Name)
		o.fillStatus(&rows[i], order, others)
	}
	return rows, nil
}

// statusRows returns the rows of the topology and those of take-out orders on
// names that are not in the topology, sorted by name.
func (o *Orders) statusRows() []operatorapi.TakeoutStatus {
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

// fillStatus sets the order of a row and which instances have acknowledged it.
func (o *Orders) fillStatus(row *operatorapi.TakeoutStatus, order Order, others []peerAnswer) {
	row.Takeout = order.Takeout
	row.Stored = o.node.isStored(order)
	row.Acknowledged = []string{o.node.view.Self().ID}
	for _, h := range others {
		if h.hasOrder(order, o.node.Current()) {
			row.Acknowledged = append(row.Acknowledged, h.id)
		} else {
			row.Pending = append(row.Pending, pendingInstance(h))
		}
	}
	slices.Sort(row.Acknowledged)
}

func pendingInstance(h peerAnswer) operatorapi.PendingInstance {
	w := operatorapi.PendingInstance{Instance: h.id, Reason: "has not taken the order in yet"}
	if h.err != nil {
		w.Reason = "does not answer: " + h.err.Error()
	}
	return w
}

// checkName returns an error if name is not in the bundle in force and there is
// no order on it.
func (o *Orders) checkName(name string) error {
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

// Out takes name out. The order is in force on this instance at once. It is
// acknowledged when the store or another instance holds it, so that it survives
// the loss of this instance.
func (o *Orders) Out(ctx context.Context, by, name string, r operatorapi.TakeoutRequest) (operatorapi.TakeoutStatus, error) {
	if err := o.checkName(name); err != nil {
		return operatorapi.TakeoutStatus{}, err
	}
	n := o.node
	c := command{kind: o.kind, name: name, out: true, by: by, request: r}
	refreshErr := n.refresh(ctx, n.Current().Find(o.kind, name))
	s := n.applyTakeOut(ctx, c)
	if latest := n.Current().Find(o.kind, name); refreshErr != nil && !latest.Out {
		// The read before failed, so this instance may have missed a
		// bring-back order. That one has turned out to be later; the
		// operator's order has to succeed it.
		s = n.applyTakeOut(ctx, c)
	}
	row := s.status(n.view.Self().ID)
	if !row.Stored && len(row.Acknowledged) < 2 {
		return row, fault.New(fault.StoreUnavailable,
			"%s %s is out on %s only; neither the store nor another instance holds the order yet", o.kind, name, row.Acknowledged[0]).
			WithOutcome(fault.Unknown)
	}
	return row, nil
}

// refresh merges the order that the store holds on one zone or runner, if the
// store answers within refreshTimeout.
func (n *node) refresh(ctx context.Context, of Order) error {
	call, cancel := context.WithTimeout(ctx, refreshTimeout)
	defer cancel()
	_, err := n.read(call, of)
	return err
}

// applyTakeOut brings a take-out order in force on this instance and starts to
// propagate it.
func (n *node) applyTakeOut(ctx context.Context, c command) *propagation {
	order := c.next(n.Current().Find(c.kind, c.name))
	if order.At.IsZero() {
		order.At = n.now()
	}
	n.merge(order)
	return n.startPropagation(ctx, order)
}

// In brings name back. The order is in force on no instance before the store
// holds it.
func (o *Orders) In(ctx context.Context, by, name string, r operatorapi.TakeoutRequest) (operatorapi.TakeoutStatus, error) {
	if err := o.checkName(name); err != nil {
		return operatorapi.TakeoutStatus{}, err
	}
	c := command{kind: o.kind, name: name, by: by, request: r}
	order, err := o.node.writeBringBack(ctx, c)
	if err != nil {
		return operatorapi.TakeoutStatus{}, err
	}
	o.node.merge(order)
	return o.node.startPropagation(ctx, order).status(o.node.view.Self().ID), nil
}

// writeBringBack writes a bring-back order to the store. A lost answer is
// resolved by reading back: if the write took effect, the stored order has the
// same identifier.
func (n *node) writeBringBack(ctx context.Context, c command) (Order, error) {
	var last error
	at := n.now()
	for range maxTries {
		of := n.Current().Find(c.kind, c.name)
		s, err := n.read(ctx, of)
		if err == nil {
			current := n.Current().Find(c.kind, c.name)
			if err := c.checkGeneration(current); err != nil {
				return Order{}, err
			}
			if s.Order.Order == c.request.OrderID {
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
