package roll

import (
	"context"
	"sync"
	"time"

	"cicadawell.dev/fleet/fault"
	"golang.org/x/sync/errgroup"
)

func (n *node) Start(ctx context.Context) error {
	n.watch.limit = n.cfg.pauseLimit
	n.watch.beat(n.clock.Now())
	begin := n.clock.Now()
	for {
		count := n.watch.pauses.Load()
		patience := n.cfg.joinPatience - n.clock.Now().Sub(begin)
		err := n.confirm(ctx, patience)
		if err == nil {
			n.watch.beat(n.clock.Now())
			n.watch.confirmed.Store(count)
			n.started.Store(true)
			return nil
		}
		n.log.Info("the bundle in force is not known yet", "error", err)
		n.watch.beat(n.clock.Now())
		if err := n.clock.Sleep(ctx, n.cfg.retryPause); err != nil {
			return fault.Wrap(fault.NotReady, err, "start")
		}
	}
}

// confirm brings the version in force that was decided last: that of the
// store, or, while the store does not answer, the latest that other instances
// have. A majority of the listed instances has to answer; when patience has
// run out, one is enough.
func (n *node) confirm(ctx context.Context, patience time.Duration) error {
	call, cancel := context.WithTimeout(ctx, n.cfg.stageTimeout)
	defer cancel()
	_, err := n.readState(call)
	if err == nil {
		return nil
	}
	others := n.others(ctx)
	answers := n.askToJoin(ctx, others)
	need := len(others)/2 + 1
	if patience <= 0 {
		need = 1
	}
	if len(answers) < need {
		return fault.Wrap(fault.NotReady, err, "%d of %d other instances show what is in force, need %d",
			len(answers), len(others), need)
	}
	latest := answers[0]
	for _, a := range answers {
		if a.Version > latest.Version {
			latest = a
		}
	}
	if latest.Version == 0 {
		return nil
	}
	return n.bring(call, latest)
}

// askToJoin returns what is in force on those of others that serve. They name
// this instance in their acknowledgements from then on.
func (n *node) askToJoin(ctx context.Context, others []Peer) []Reference {
	var mu sync.Mutex
	var answers []Reference
	var g errgroup.Group
	g.SetLimit(n.cfg.fanOut)
	for _, p := range others {
		g.Go(func() error {
			call, cancel := context.WithTimeout(ctx, n.cfg.callTimeout)
			defer cancel()
			var s Status
			if err := n.mesh.Call(call, p.ID, methodJoin, joinRequest{}, &s); err != nil || !s.Serving {
				return err
			}
			mu.Lock()
			defer mu.Unlock()
			answers = append(answers, s.InForce.WithSource(p.ID))
			return nil
		})
	}
	_ = g.Wait() // an instance that does not answer is missing in answers
	return answers
}
