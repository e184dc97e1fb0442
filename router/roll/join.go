package roll

import (
	"context"
	"slices"
	"sync"
	"time"

	"cicadawell.dev/fleet/fault"
	"cicadawell.dev/router/peers"
	"golang.org/x/sync/errgroup"
)

func (n *node) Start(ctx context.Context) error {
	return n.pauses.During(ctx, n.clock, n.resumed, func() error { return n.start(ctx) })
}

func (n *node) start(ctx context.Context) error {
	begin := n.clock.Now()
	for {
		count := n.pauses.Count()
		patience := n.cfg.joinPatience - n.clock.Now().Sub(begin)
		err := n.confirm(ctx, patience)
		if err == nil {
			n.pauses.Confirm(count)
			n.started.Store(true)
			return nil
		}
		n.log.Info("the bundle in force is not known yet", "error", err)
		if err := n.clock.Sleep(ctx, n.cfg.retryPause); err != nil {
			return fault.Wrap(fault.NotReady, err, "start")
		}
	}
}

// confirm brings the version in force that was decided last: that of the
// store, or, while the store does not answer or does not show this instance as
// registered, the latest that other instances have. A majority of the listed instances has to answer; when patience has
// run out, one is enough.
func (n *node) confirm(ctx context.Context, patience time.Duration) error {
	call, cancel := context.WithTimeout(ctx, n.cfg.stageTimeout)
	defer cancel()
	err := n.readRegistered(call)
	if err == nil {
		return nil
	}
	others := n.view.Others(ctx)
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

// readRegistered reads the state after the store has shown this instance as
// registered: a driver that lists the instances before that writes its next
// step before the state is read here.
func (n *node) readRegistered(ctx context.Context) error {
	ids, err := n.fleet.Registered(ctx)
	if err != nil {
		return err
	}
	if !slices.Contains(ids, n.view.Self().ID) {
		return fault.New(fault.NotReady, "this instance is not registered")
	}
	_, err = n.readState(ctx)
	return err
}

// askToJoin returns what is in force on those of others that serve. They name
// this instance in their acknowledgements from then on.
func (n *node) askToJoin(ctx context.Context, others []peers.Peer) []Reference {
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
