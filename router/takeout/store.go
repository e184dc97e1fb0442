package takeout

import (
	"context"
	"encoding/json"
	"strings"

	"cicadawell.dev/fleet/fault"
	"cicadawell.dev/fleet/platformapi"
)

// prefix is the prefix of the keys that hold orders, one for each zone or runner.
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

// mergeEntry merges an order that the store holds.
func (n *node) mergeEntry(e platformapi.Entry) {
	o, err := decodeOrder(e)
	if err != nil {
		n.log.Error("cannot decode an order from the store", "key", e.Key, "error", err)
		return
	}
	n.recordStored(o)
	n.merge(o)
}

// readStore merges all orders that the store holds, and returns the store
// revision at which they were read.
func (n *node) readStore(ctx context.Context) (uint64, error) {
	entries, revision, err := n.store.List(ctx, prefix)
	if err != nil {
		return 0, err
	}
	for _, e := range entries {
		n.mergeEntry(e)
	}
	return revision, nil
}

// watchStore watches the orders in the store whenever this instance is one of
// the watchers.
func (n *node) watchStore(ctx context.Context) {
	for ctx.Err() == nil {
		if _, ok := n.view.Rank(ctx); !ok {
			_ = n.clock.Sleep(ctx, exchangePeriod)
			continue
		}
		if err := n.listAndWatch(ctx); err != nil {
			_ = n.clock.Sleep(ctx, retryPause)
		}
	}
}

// listAndWatch reads the orders and watches them until the store fails, events
// are lost, or this instance is no longer a watcher.
func (n *node) listAndWatch(ctx context.Context) error {
	after, err := n.readStore(ctx)
	for err == nil && ctx.Err() == nil {
		if _, ok := n.view.Rank(ctx); !ok {
			return nil
		}
		var w platformapi.WatchResponse
		w, err = n.store.Watch(ctx, platformapi.WatchRequest{Prefix: prefix, After: after, WaitMillis: watchWait.Milliseconds()})
		if err != nil || w.HistoryLost {
			return err
		}
		for _, e := range w.Events {
			if !e.Deleted {
				n.mergeEntry(e.Entry)
			}
			after = max(after, e.Entry.Revision)
		}
		after = max(after, w.Revision)
	}
	return err
}

// storedOrder is the order that the store holds on one zone or runner, with the
// revision of its entry; both are zero when there is none.
type storedOrder struct {
	Order
	revision uint64
}

func (n *node) read(ctx context.Context, of Order) (storedOrder, error) {
	e, _, err := n.store.Get(ctx, storeKey(of))
	if err != nil {
		return storedOrder{}, err
	}
	s := storedOrder{Order: Order{Kind: of.Kind}}
	s.Name = of.Name
	if e == nil {
		return s, nil
	}
	s.revision = e.Revision
	s.Order, err = decodeOrder(*e)
	if err == nil {
		n.recordStored(s.Order)
		n.merge(s.Order)
	}
	return s, err
}

// write replaces s by o, on condition that the entry in the store is unchanged.
func (n *node) write(ctx context.Context, s storedOrder, o Order) error {
	value, err := json.Marshal(o)
	if err != nil {
		return fault.Wrap(fault.Internal, err, "encode order")
	}
	_, err = n.store.Put(ctx, platformapi.PutRequest{Key: storeKey(o), Value: value, IfRevision: &s.revision})
	if err == nil {
		n.recordStored(o)
	}
	return err
}

// push stores o unless the store already holds o or a later order. A lost answer
// or a conflict is resolved by reading back at the next attempt.
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
