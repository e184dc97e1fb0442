package inventory_test

import (
	"context"
	"encoding/json"
	"sync"
	"testing"
	"time"

	"cicadawell.dev/fleet/clock"
	"cicadawell.dev/fleet/random"
	"cicadawell.dev/router/era"
	"cicadawell.dev/router/instance"
	"cicadawell.dev/router/inventory"
	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"
)

// handlers is a mesh that only keeps the handlers of its instance.
type handlers map[string]instance.Handler

func (h handlers) Handle(method string, f instance.Handler) { h[method] = f }

func (handlers) SetAddresses(map[string]string) {}

func (handlers) Call(context.Context, string, string, any, any) error { return errUnavailable }

// TestSnapshotForOthersIsNotOlderThanItsAge guards against older views that are taken for fresh ones.
func TestSnapshotForOthersIsNotOlderThanItsAge(t *testing.T) {
	is := is.New(t)
	const last = 20_000
	start := time.Unix(1000, 0)
	end := start.Add(last * time.Millisecond)
	clk, mesh := clock.NewManual(end), handlers{}
	current := inventory.NewCurrent(clk)
	follower := inventory.NewFollower(clk, &script{}, current, hclog.NewNullLogger())
	inventory.NewExchange(clk, "a", current, follower, nil, mesh, random.NewSource(), hclog.NewNullLogger())
	// Revision n is confirmed n milliseconds after the start.
	adopt := func(n int64) {
		at := start.Add(time.Duration(n) * time.Millisecond)
		follower.AdoptChanges("b", nil, era.New(0, n), inventory.Freshness{ConfirmedAt: at, ConnectedSince: start})
	}
	follower.AdoptSnapshot("b", &inventory.Snapshot{Revision: era.New(0, 1), Table: config(t, 1)}, inventory.Freshness{ConfirmedAt: start.Add(time.Millisecond), ConnectedSince: start})
	var group sync.WaitGroup
	defer group.Wait()
	group.Go(func() {
		for n := int64(2); n <= last; n++ {
			adopt(n)
		}
	})
	for revision := int64(0); revision < last; {
		got, err := mesh["inventory.get"](t.Context(), "b", json.RawMessage(`{"version":1}`))
		is.NoErr(err)
		raw, err := json.Marshal(got)
		is.NoErr(err)
		var answer struct{ AgeMicros, Revision int64 }
		is.NoErr(json.Unmarshal(raw, &answer))
		revision = answer.Revision
		if confirmed := end.Add(-time.Duration(answer.AgeMicros) * time.Microsecond).Sub(start).Milliseconds(); confirmed > revision {
			t.Fatalf("revision %d is told as the newest of revision %d", revision, confirmed)
		}
	}
}
