package viewlease_test

import (
	"fmt"
	"testing"
	"time"

	"cicadawell.dev/router/roster/viewlease"
)

// BenchmarkRound measures the state machine of one member during one round of
// requests: its own round with all replies, and its replies to all others.
func BenchmarkRound(b *testing.B) {
	for _, n := range []int{3, 5, 7} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var all []viewlease.Member
			for i := range n {
				all = append(all, viewlease.Member{ID: fmt.Sprint(i), Incarnation: "1"})
			}
			view := viewlease.View{Epoch: 1, Members: all, Effective: true}
			m := viewlease.New(all[0], viewlease.DefaultTiming())
			m.HandleRead(origin, origin, viewlease.ViewRead{View: view, Revision: 1})
			age := time.Second
			b.ReportAllocs()
			for b.Loop() {
				ask, targets := m.StartRound(origin)
				for _, target := range targets {
					m.HandleReply(origin, viewlease.PromiseReply{From: target, Round: ask.Round, Epoch: 1, Effective: true, Promised: true, ReadAge: &age})
					m.HandleAsk(origin, viewlease.PromiseRequest{From: target, Epoch: 1, Effective: true})
					m.State(origin)
				}
			}
		})
	}
}
