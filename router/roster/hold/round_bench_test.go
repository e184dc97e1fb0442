package hold_test

import (
	"fmt"
	"testing"
	"time"

	"cicadawell.dev/router/roster/hold"
)

// BenchmarkRound measures the state machine of one member during one round of
// requests: its own round with all replies, and its replies to all others.
func BenchmarkRound(b *testing.B) {
	for _, n := range []int{3, 5, 7} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var all []hold.Member
			for i := range n {
				all = append(all, hold.Member{ID: fmt.Sprint(i), Incarnation: "1"})
			}
			view := hold.View{Epoch: 1, Members: all, Effective: true}
			m := hold.New(all[0], hold.DefaultTiming())
			m.HandleRead(origin, origin, hold.ViewRead{View: view, Revision: 1})
			age := time.Second
			b.ReportAllocs()
			for b.Loop() {
				ask, targets := m.StartRound(origin)
				for _, target := range targets {
					m.HandleReply(origin, hold.Reply{From: target, Round: ask.Round, Epoch: 1, Effective: true, Promised: true, ReadAge: &age})
					m.HandleAsk(origin, hold.Ask{From: target, Epoch: 1, Effective: true})
					m.State(origin)
				}
			}
		})
	}
}
