package relay

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"cicadawell.dev/fleet/clock"
	"cicadawell.dev/router/inventory"
	"cicadawell.dev/router/routing"
	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"
)

// agingStreams records how old the view was at each question for the version of a stream.
type agingStreams struct {
	anyVersion
	current *inventory.Current
	ages    []time.Duration
}

func (s *agingStreams) VersionOf(context.Context, string, string, string) (string, error) {
	s.ages = append(s.ages, s.current.Age())
	return "v1", nil
}

// TestRefreshFromBeforeAPauseIsNotTheLastOne guards against a take-up by an old view: its
// refresh is one that another call began before the process stood still.
func TestRefreshFromBeforeAPauseIsNotTheLastOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		clk := clock.System()
		current := inventory.NewCurrent(clk)
		current.Confirm(clk.Now())
		streams := &agingStreams{current: current}
		answered := make(chan struct{})
		refreshes := 0
		x := New(Parts{Clock: clk, Current: current, Streams: streams, Log: hclog.NewNullLogger(), Refresh: func(context.Context) error {
			start := clk.Now()
			if refreshes++; refreshes == 1 {
				<-answered
			}
			current.Confirm(start)
			return nil
		}}).(*relay)
		takeUp := func() {
			call := &Call{ResumeAfter: "1", Resumes: "before"}
			is.NoErr(x.bind(&streamRun{plan: &callPlan{ctx: t.Context(), call: call, route: &routing.Route{Resumable: true}}}))
		}
		_ = clk.Sleep(t.Context(), 2*time.Second)
		var group sync.WaitGroup
		group.Go(takeUp) // its own wait ends before the answer
		_ = clk.Sleep(t.Context(), 5*time.Second)
		group.Wait()
		group.Go(func() {
			_ = clk.Sleep(t.Context(), time.Millisecond)
			close(answered)
		})
		takeUp()
		group.Wait()
		is.Equal(refreshes, 2)
		is.True(streams.ages[1] <= maxDenyAge)

		x.Refresh = func(context.Context) error {
			refreshes++
			return errors.New("away")
		}
		_ = clk.Sleep(t.Context(), 2*time.Second)
		takeUp()
		is.Equal(refreshes, 3) // callers don't wait for a second one in vain
	})
}
