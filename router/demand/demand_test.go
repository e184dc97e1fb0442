package demand_test

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"cicadawell.dev/fleet/bundle"
	"cicadawell.dev/fleet/clock"
	"cicadawell.dev/router/demand"
	"cicadawell.dev/router/instance"
	"cicadawell.dev/router/quota"
	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"
)

// network connects instances in memory. It holds their handlers by instance.
type network map[string]instance.Handler

// endpoint is one instance's side of the network.
type endpoint struct {
	network
	self string
}

func (e endpoint) Handle(_ string, h instance.Handler) { e.network[e.self] = h }
func (e endpoint) SetAddresses(map[string]string)      {}

func (e endpoint) Call(ctx context.Context, to, _ string, params, result any) error {
	raw, err := json.Marshal(params)
	if err != nil {
		return err
	}
	answer, err := e.network[to](ctx, e.self, raw)
	if err != nil {
		return err
	}
	raw, err = json.Marshal(answer)
	if err != nil {
		return err
	}
	return json.Unmarshal(raw, result)
}

// TestLimitSharesFollowDemand sends all requests of four teams to one of three
// instances. After the exchange of demand, this instance alone admits nearly
// all requests that the limits allow.
func TestLimitSharesFollowDemand(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ids := []string{"a", "b", "c"}
		w, clk := network{}, clock.System()
		limiters := map[string]quota.Limiter{}
		ctx, cancel := context.WithCancel(t.Context())
		var group errgroup.Group
		for _, id := range ids {
			limiters[id] = quota.New()
			limiters[id].SetInstances(ids, id)
			x := demand.New(demand.Parts{
				Self: id, Clock: clk, Log: hclog.NewNullLogger(), Mesh: endpoint{w, id}, Limiter: limiters[id],
			})
			group.Go(func() error { return x.Run(ctx) })
		}
		admitted := map[string]int{}
		const seconds, settling, limit = 20, 10, 90
		for ms := range seconds * 1000 {
			for k := range 4 {
				team := bundle.Team{ID: fmt.Sprint("t", k), RatePerSecond: limit}
				if ok, _ := limiters["b"].Allow(team, clk.Now()); ok && ms >= settling*1000 {
					admitted[team.ID]++
				}
			}
			is.NoErr(clk.Sleep(ctx, time.Millisecond))
		}
		cancel()
		is.True(group.Wait() != nil)
		for _, n := range admitted {
			is.True(n > (seconds-settling)*limit*95/100)
			is.True(n <= (seconds-settling+1)*limit)
		}
		is.Equal(len(admitted), 4)
	})
}
