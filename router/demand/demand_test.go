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

// wire joins instances without a network.
type wire map[string]instance.Handler

// end is the mesh of one instance.
type end struct {
	wire
	self string
}

func (e end) Handle(_ string, h instance.Handler) { e.wire[e.self] = h }
func (e end) Learn(map[string]string)             {}

func (e end) Call(ctx context.Context, to, _ string, params, result any) error {
	raw, err := json.Marshal(params)
	if err != nil {
		return err
	}
	answer, err := e.wire[to](ctx, e.self, raw)
	if err != nil {
		return err
	}
	raw, err = json.Marshal(answer)
	if err != nil {
		return err
	}
	return json.Unmarshal(raw, result)
}

// TestDemandReachesTheOtherInstances sends all requests of two teams to one of
// three instances: it comes to admit nearly the whole limits.
func TestDemandReachesTheOtherInstances(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ids := []string{"a", "b", "c"}
		w, clk := wire{}, clock.System()
		quotas := map[string]quota.Quotas{}
		ctx, cancel := context.WithCancel(t.Context())
		var group errgroup.Group
		for _, id := range ids {
			quotas[id] = quota.New()
			quotas[id].Update(ids, id)
			x := demand.New(demand.Parts{
				Self: id, Clock: clk, Log: hclog.NewNullLogger(), Mesh: end{w, id}, Quotas: quotas[id],
			})
			group.Go(func() error { return x.Run(ctx) })
		}
		admitted := map[string]int{}
		const seconds, learning, limit = 20, 10, 90
		for ms := range seconds * 1000 {
			for k := range 4 {
				team := bundle.Team{ID: fmt.Sprint("t", k), RatePerSecond: limit}
				if ok, _ := quotas["b"].Allow(team, clk.Now()); ok && ms >= learning*1000 {
					admitted[team.ID]++
				}
			}
			is.NoErr(clk.Sleep(ctx, time.Millisecond))
		}
		cancel()
		is.True(group.Wait() != nil)
		for _, n := range admitted {
			is.True(n > (seconds-learning)*limit*95/100)
			is.True(n <= (seconds-learning+1)*limit)
		}
		is.Equal(len(admitted), 4)
	})
}
