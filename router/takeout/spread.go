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

// methodExchange brings two instances to the same orders.
const methodExchange = "takeout.exchange"

// exchangeRequest tells what the asking instance holds.
type exchangeRequest struct {
	Hash uint64 `json:"hash,string"`
	// Orders are those that the other instance may lack.
	Orders []Order `json:"orders,omitempty"`
}

// exchangeAnswer tells what the answering instance holds after it took the
// request's orders in.
type exchangeAnswer struct {
	Hash uint64 `json:"hash,string"`
	// Serving tells that the instance has started.
	Serving bool `json:"serving"`
	// Orders are all that it holds; missing when the hashes are the same.
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

// ask sends orders to one instance and takes in what it holds.
func (n *node) ask(ctx context.Context, to string, orders ...Order) (exchangeAnswer, error) {
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var a exchangeAnswer
	err := n.mesh.Call(call, to, methodExchange, exchangeRequest{Hash: n.Current().hash, Orders: orders}, &a)
	if err == nil {
		n.merge(a.Orders...)
	}
	return a, err
}

// exchange compares with one other instance at a time. Where the two differ,
// it sends what the other lacks.
func (n *node) exchange(ctx context.Context) {
	for turn := 0; n.clock.Sleep(ctx, exchangePeriod) == nil; turn++ {
		to, ok := n.view.Partner(ctx, turn)
		if !ok {
			continue
		}
		a, err := n.ask(ctx, to)
		if s := n.Current(); err == nil && a.Hash != s.hash {
			_, _ = n.ask(ctx, to, s.all()...) // the next turn tries again
		}
		n.pushUnstored(ctx)
	}
}

// askAll asks all listed instances what they hold; answered counts those that
// serve.
func (n *node) askAll(ctx context.Context) (answered, asked int) {
	held := n.sendAll(ctx)
	for _, h := range held {
		if h.err == nil && h.answer.Serving {
			answered++
		}
	}
	return answered, len(held)
}

// heldAt is what one instance answered.
type heldAt struct {
	id     string
	answer exchangeAnswer
	err    error
}

// holds reports whether the instance holds o or a later order. mine is the set
// that the hash in the request covered, or a later one.
func (h heldAt) holds(o Order, mine *Set) bool {
	if h.err != nil {
		return false
	}
	if h.answer.Hash == mine.hash {
		return compare(mine.Find(o.Kind, o.Name), o) >= 0
	}
	for _, x := range h.answer.Orders {
		if x.key() == o.key() {
			return compare(x, o) >= 0
		}
	}
	return o.Generation == 0
}

// sendAll sends orders to all listed instances and takes in what they hold.
func (n *node) sendAll(ctx context.Context, orders ...Order) []heldAt {
	return n.send(ctx, n.view.Others(ctx), orders...)
}

// send sends orders to instances and takes in what they hold.
func (n *node) send(ctx context.Context, to []peers.Peer, orders ...Order) []heldAt {
	all := make([]heldAt, len(to))
	var g errgroup.Group
	g.SetLimit(fanOut)
	for i, p := range to {
		g.Go(func() error {
			a, err := n.ask(ctx, p.ID, orders...)
			all[i] = heldAt{id: p.ID, answer: a, err: err}
			return nil
		})
	}
	_ = g.Wait() // each row carries its own error
	return all
}

// pushUnstored lets a watcher store orders out that their origin could not
// store.
func (n *node) pushUnstored(ctx context.Context) {
	if _, ok := n.view.Rank(ctx); !ok {
		return
	}
	for _, o := range n.Current().all() {
		if !o.Out || n.isStored(o) {
			continue
		}
		call, cancel := context.WithTimeout(ctx, storePatience)
		err := n.push(call, o)
		cancel()
		if err != nil {
			return // the next turn tries again
		}
	}
}

// spreading is an order given here on its way to the store and the others.
type spreading struct {
	Order

	mu sync.Mutex
	// stored tells that the store holds the order or a later one.
	stored bool
	// held are the instances that do.
	held map[string]bool
	// waiting are those that did not at the last try.
	waiting []heldAt
}

func newSpreading(o Order) *spreading {
	return &spreading{Order: o, held: map[string]bool{}}
}

// complete reports whether the store and all listed instances hold the order.
func (s *spreading) complete() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stored && len(s.waiting) == 0
}

// known returns whether the store holds the order, and the instances that do
// and that do not, in ascending order.
func (s *spreading) known(self string) operatorapi.TakeoutStatus {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := operatorapi.TakeoutStatus{Takeout: s.Takeout, Stored: s.stored, Holding: []string{self}}
	for id := range s.held {
		st.Holding = append(st.Holding, id)
	}
	slices.Sort(st.Holding)
	for _, h := range s.waiting {
		st.Waiting = append(st.Waiting, waiting(h))
	}
	return st
}

// spread repeats orders given here until the store and all listed instances
// hold them.
func (n *node) spread(ctx context.Context) {
	for n.clock.Sleep(ctx, exchangePeriod) == nil {
		var g errgroup.Group
		for _, s := range n.toSpread() {
			g.Go(func() error {
				n.try(ctx, s)
				return nil
			})
		}
		_ = g.Wait() // what failed is tried again
	}
}

func (n *node) toSpread() []*spreading {
	n.mu.Lock()
	defer n.mu.Unlock()
	return slices.Collect(maps.Values(n.spreading))
}

// begin sends an order to the store and to all listed instances at once, and
// lets spread go on with it where that is not complete.
func (n *node) begin(ctx context.Context, o Order) *spreading {
	s := newSpreading(o)
	n.mu.Lock()
	n.spreading[o.key()] = s
	n.mu.Unlock()
	n.try(ctx, s)
	return s
}

// try sends an order to the store and to those that do not hold it yet.
func (n *node) try(ctx context.Context, s *spreading) {
	var wg sync.WaitGroup
	wg.Go(func() { n.tryStore(ctx, s) })
	wg.Go(func() { n.tryOthers(ctx, s) })
	wg.Wait()
	if !s.complete() {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.spreading[s.key()] == s {
		delete(n.spreading, s.key())
	}
}

func (n *node) tryStore(ctx context.Context, s *spreading) {
	call, cancel := context.WithTimeout(ctx, storePatience)
	defer cancel()
	if err := n.push(call, s.Order); err != nil {
		n.log.Debug("order not stored yet", "kind", s.Kind, "name", s.Name, "error", err)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stored = true
}

func (n *node) tryOthers(ctx context.Context, s *spreading) {
	s.mu.Lock()
	missing := slices.DeleteFunc(n.view.Others(ctx), func(p peers.Peer) bool { return s.held[p.ID] })
	s.mu.Unlock()
	answers := n.send(ctx, missing, s.Order)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting = nil
	for _, h := range answers {
		if h.holds(s.Order, n.Current()) {
			s.held[h.id] = true
		} else {
			s.waiting = append(s.waiting, h)
		}
	}
}
