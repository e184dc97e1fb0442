package takeout

import (
	"context"
	"encoding/json"
	"strings"

	"cicadawell.dev/fleet/fault"
	"cicadawell.dev/fleet/platformapi"
)

// prefix is that of the keys that hold orders, one for each zone or runner.
const prefix = "takeout/"

func storeKey(o Order) string { return prefix + o.key() }

func decodeOrder(e platformapi.Entry) (Order, error) {
	var o Order
	if err := json.Unmarshal(e.Value, &o); err != nil {
		return o, fault.Wrap(fault.Internal, err, "decode %s", e.Key)
	}
	if o.key() != strings.TrimPrefix(e.Key, prefix) {
		return o, fault.New(fault.Internal, "found an order on %s at %s", o.key(), e.Key)
	}
	return o, nil
}

// takeIn merges an order that the store holds.
func (n *node) takeIn(e platformapi.Entry) {
	o, err := decodeOrder(e)
	if err != nil {
		n.log.Error("order not read", "key", e.Key, "error", err)
		return
	}
	n.noteStored(o)
	n.merge(o)
}

// readStore merges all orders that the store holds, and returns the revision
// as of which they hold.
func (n *node) readStore(ctx context.Context) (uint64, error) {
	entries, revision, err := n.store.List(ctx, prefix)
	if err != nil {
		return 0, err
	}
	for _, e := range entries {
		n.takeIn(e)
	}
	return revision, nil
}

// follow watches the orders in the store while this instance is a watcher.
func (n *node) follow(ctx context.Context) {
	for ctx.Err() == nil {
		if _, ok := n.view.Rank(ctx); !ok {
			_ = n.clock.Sleep(ctx, exchangePeriod)
			continue
		}
		if err := n.followStore(ctx); err != nil {
			_ = n.clock.Sleep(ctx, retryPause)
		}
	}
}

// followStore reads the orders and watches them until the store fails, changes
// are lost, or this instance is no watcher any more.
func (n *node) followStore(ctx context.Context) error {
	after, err := n.readStore(ctx)
	for err == nil && ctx.Err() == nil {
		if _, ok := n.view.Rank(ctx); !ok {
			return nil
		}
		var w platformapi.WatchResponse
		w, err = n.store.Watch(ctx, platformapi.WatchRequest{Prefix: prefix, After: after, WaitMillis: watchWait.Milliseconds()})
		if err != nil || w.Lost {
			return err
		}
		for _, e := range w.Events {
			if !e.Deleted {
				n.takeIn(e.Entry)
			}
			after = max(after, e.Entry.Revision)
		}
		after = max(after, w.Revision)
	}
	return err
}

// stands is what the store holds for one zone or runner.
type stands struct {
	Order
	revision uint64
}

func (n *node) read(ctx context.Context, of Order) (stands, error) {
	e, _, err := n.store.Get(ctx, storeKey(of))
	if err != nil {
		return stands{}, err
	}
	s := stands{Order: Order{Kind: of.Kind}}
	s.Name = of.Name
	if e == nil {
		return s, nil
	}
	s.revision = e.Revision
	s.Order, err = decodeOrder(*e)
	if err == nil {
		n.noteStored(s.Order)
		n.merge(s.Order)
	}
	return s, err
}

// write stores o in place of what stands.
func (n *node) write(ctx context.Context, s stands, o Order) error {
	value, err := json.Marshal(o)
	if err != nil {
		return fault.Wrap(fault.Internal, err, "encode order")
	}
	_, err = n.store.Put(ctx, platformapi.PutRequest{Key: storeKey(o), Value: value, IfRevision: &s.revision})
	if err == nil {
		n.noteStored(o)
	}
	return err
}

// push stores o unless the store holds it or a later one. A lost answer or a
// conflict is resolved by reading back at the next try.
func (n *node) push(ctx context.Context, o Order) error {
	s, err := n.read(ctx, o)
	if err != nil {
		return err
	}
	if compare(s.Order, o) >= 0 {
		return nil
	}
	return n.write(ctx, s, o)
}
