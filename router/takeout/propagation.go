package takeout

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"sync"

	"cicadawell.dev/fleet/fault"
	"cicadawell.dev/fleet/operatorapi"
	"cicadawell.dev/router/peers"
	"golang.org/x/sync/errgroup"
)

// methodExchange is the method by which two instances reconcile their orders.
const methodExchange = "takeout.exchange"

// exchangeRequest describes the orders that the calling instance holds.
type exchangeRequest struct {
	Hash uint64 `json:"hash,string"`
	// Orders are orders that the other instance may lack.
	Orders []Order `json:"orders,omitempty"`
}

// exchangeAnswer describes the orders that the answering instance holds after it
// has merged those of the request.
type exchangeAnswer struct {
	Hash uint64 `json:"hash,string"`
	// Serving is true if the instance is ready.
	Serving bool `json:"serving"`
	// Orders are all orders that it holds; empty when the hashes are equal.
	Orders []Order `json:"orders,omitempty"`
}

func (n *node) handle() {
	n.mesh.Handle(methodExchange, func(_ context.Context, _ string, raw json.RawMessage) (any, error) {
		var r exchangeRequest
		if err := json.Unmarshal(raw, &r); err != nil {
			return nil, fault.Wrap(fault.BadRequest, err, "decode parameters").WithField(methodExchange)
		}
		return n.onExchange(r), nil
	})
}

func (n *node) onExchange(r exchangeRequest) exchangeAnswer {
	n.merge(r.Orders...)
	s := n.Current()
	a := exchangeAnswer{Hash: s.hash, Serving: n.Ready() == nil}
	if s.hash != r.Hash {
		a.Orders = s.all()
	}
	return a
}

// exchangeWith sends orders to one instance and merges those in its answer.
func (n *node) exchangeWith(ctx context.Context, to string, orders ...Order) (exchangeAnswer, error) {
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var a exchangeAnswer
	err := n.mesh.Call(call, to, methodExchange, exchangeRequest{Hash: n.Current().hash, Orders: orders}, &a)
	if err == nil {
		n.merge(a.Orders...)
	}
	return a, err
}

// exchange runs anti-entropy: it periodically compares the hash of its orders
// with that of one other instance. Where they differ, the answer brings the
// other's orders, and all of this instance's orders are sent back if the hashes
// still differ. pushUnstored then catches up on writes to the store.
func (n *node) exchange(ctx context.Context) {
	for turn := 0; n.clock.Sleep(ctx, exchangePeriod) == nil; turn++ {
		to, ok := n.view.GossipPeer(ctx, turn)
		if !ok {
			continue
		}
		a, err := n.exchangeWith(ctx, to)
		if s := n.Current(); err == nil && a.Hash != s.hash {
			_, _ = n.exchangeWith(ctx, to, s.all()...) // the next turn tries again
		}
		n.pushUnstored(ctx)
	}
}

// askAll merges the orders of all other listed instances. answered counts the
// instances that answered and are ready, asked all that were called.
func (n *node) askAll(ctx context.Context) (answered, asked int) {
	answers := n.sendAll(ctx)
	for _, h := range answers {
		if h.err == nil && h.answer.Serving {
			answered++
		}
	}
	return answered, len(answers)
}

// peerAnswer is the answer of one instance, or the error of the call.
type peerAnswer struct {
	id     string
	answer exchangeAnswer
	err    error
}

// hasOrder reports whether the instance holds o or a later order. local is the
// set that the hash in the request covered, or a later one.
func (h peerAnswer) hasOrder(o Order, local *Set) bool {
	if h.err != nil {
		return false
	}
	if h.answer.Hash == local.hash {
		return compare(local.Find(o.Kind, o.Name), o) >= 0
	}
	for _, x := range h.answer.Orders {
		if x.key() == o.key() {
			return compare(x, o) >= 0
		}
	}
	return o.Generation == 0
}

// sendAll sends orders to all other listed instances and merges those in their
// answers.
func (n *node) sendAll(ctx context.Context, orders ...Order) []peerAnswer {
	return n.send(ctx, n.view.Others(ctx), orders...)
}

// send sends orders to instances and merges those in their answers.
func (n *node) send(ctx context.Context, to []peers.Peer, orders ...Order) []peerAnswer {
	all := make([]peerAnswer, len(to))
	var g errgroup.Group
	g.SetLimit(fanOut)
	for i, p := range to {
		g.Go(func() error {
			a, err := n.exchangeWith(ctx, p.ID, orders...)
			all[i] = peerAnswer{id: p.ID, answer: a, err: err}
			return nil
		})
	}
	_ = g.Wait() // each answer carries its own error
	return all
}

// pushUnstored stores the take-out orders that are not known to be in the store,
// if this instance is a watcher. The instance that accepted such an order may
// have been unable to store it.
func (n *node) pushUnstored(ctx context.Context) {
	if _, ok := n.view.Rank(ctx); !ok {
		return
	}
	for _, o := range n.Current().all() {
		if !o.Out || n.isStored(o) {
			continue
		}
		call, cancel := context.WithTimeout(ctx, storeTimeout)
		err := n.push(call, o)
		cancel()
		if err != nil {
			return // the next turn tries again
		}
	}
}

// propagation is an order given on this instance that is being sent to the store
// and to the other instances.
type propagation struct {
	Order

	mu sync.Mutex
	// stored is true if the store holds the order or a later one.
	stored bool
	// acknowledged are the other instances that hold the order or a later one.
	acknowledged map[string]bool
	// waiting are the instances that did not hold it at the last attempt.
	waiting []peerAnswer
}

func newPropagation(o Order) *propagation {
	return &propagation{Order: o, acknowledged: map[string]bool{}}
}

// complete reports whether the store and all listed instances hold the order.
func (s *propagation) complete() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stored && len(s.waiting) == 0
}

// status returns the order's status: whether the store holds it, the instances
// that hold it, in ascending order, and those that do not.
func (s *propagation) status(self string) operatorapi.TakeoutStatus {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := operatorapi.TakeoutStatus{Takeout: s.Takeout, Stored: s.stored, Acknowledged: []string{self}}
	for id := range s.acknowledged {
		st.Acknowledged = append(st.Acknowledged, id)
	}
	slices.Sort(st.Acknowledged)
	for _, h := range s.waiting {
		st.Pending = append(st.Pending, pendingInstance(h))
	}
	return st
}

// propagate resends the orders given on this instance until the store and all
// listed instances hold them.
func (n *node) propagate(ctx context.Context) {
	for n.clock.Sleep(ctx, exchangePeriod) == nil {
		var g errgroup.Group
		for _, s := range n.propagations() {
			g.Go(func() error {
				n.attempt(ctx, s)
				return nil
			})
		}
		_ = g.Wait() // failed attempts are repeated
	}
}

func (n *node) propagations() []*propagation {
	n.mu.Lock()
	defer n.mu.Unlock()
	return slices.Collect(maps.Values(n.pending))
}

// startPropagation sends an order to the store and to all listed instances
// concurrently. If the store or an instance does not hold it afterwards,
// propagate resends it.
func (n *node) startPropagation(ctx context.Context, o Order) *propagation {
	s := newPropagation(o)
	n.mu.Lock()
	n.pending[o.key()] = s
	n.mu.Unlock()
	n.attempt(ctx, s)
	return s
}

// attempt sends an order to the store and to the instances that do not hold it
// yet. It drops the propagation when the order is held by all.
func (n *node) attempt(ctx context.Context, s *propagation) {
	var wg sync.WaitGroup
	wg.Go(func() { n.sendToStore(ctx, s) })
	wg.Go(func() { n.sendToPeers(ctx, s) })
	wg.Wait()
	if !s.complete() {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.pending[s.key()] == s {
		delete(n.pending, s.key())
	}
}

func (n *node) sendToStore(ctx context.Context, s *propagation) {
	call, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if err := n.push(call, s.Order); err != nil {
		n.log.Debug("order not stored yet", "kind", s.Kind, "name", s.Name, "error", err)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stored = true
}

func (n *node) sendToPeers(ctx context.Context, s *propagation) {
	s.mu.Lock()
	missing := slices.DeleteFunc(n.view.Others(ctx), func(p peers.Peer) bool { return s.acknowledged[p.ID] })
	s.mu.Unlock()
	answers := n.send(ctx, missing, s.Order)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting = nil
	for _, h := range answers {
		if h.hasOrder(s.Order, n.Current()) {
			s.acknowledged[h.id] = true
		} else {
			s.waiting = append(s.waiting, h)
		}
	}
}
