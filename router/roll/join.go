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
	return n.pauses.RunDuring(ctx, n.clock, n.pauseUnconfirmed, func() error { return n.start(ctx) })
}

func (n *node) start(ctx context.Context) error {
	begin := n.clock.Now()
	for {
		count := n.pauses.Count()
		remaining := n.cfg.majorityTimeout - n.clock.Now().Sub(begin)
		err := n.confirm(ctx, remaining)
		if err == nil {
			n.pauses.Confirm(count)
			n.started.Store(true)
			return nil
		}
		n.log.Info("the bundle in force is not known yet", "error", err)
		if err := n.clock.Sleep(ctx, n.cfg.retryDelay); err != nil {
			return fault.Wrap(fault.NotReady, err, "start")
		}
	}
}

// confirm applies the version that was decided last. It reads it from the
// store. While the store does not answer or does not show this instance as
// registered, it applies the latest version in force on other instances: a
// majority of the other listed instances has to answer, or just one once no
// time remains for a majority.
func (n *node) confirm(ctx context.Context, remaining time.Duration) error {
	call, cancel := context.WithTimeout(ctx, n.cfg.stageTimeout)
	defer cancel()
	err := n.readStateOnceRegistered(call)
	if err == nil {
		return nil
	}
	others := n.view.Others(ctx)
	answers := n.requestJoin(ctx, others)
	quorum := len(others)/2 + 1
	if remaining <= 0 {
		quorum = 1
	}
	if len(answers) < quorum {
		return fault.Wrap(fault.NotReady, err, "%d of %d other instances show what is in force, need %d",
			len(answers), len(others), quorum)
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
	return n.applyAndLog(call, latest)
}

// readStateOnceRegistered reads the state after the store has shown this
// instance as registered. In this order no decided version is missed: a
// coordinator whose list of instances lacks this one read the state before it
// listed them, so the state read here is the same or newer.
func (n *node) readStateOnceRegistered(ctx context.Context) error {
	ids, err := n.lister.ListRegistered(ctx)
	if err != nil {
		return err
	}
	if !slices.Contains(ids, n.view.Self().ID) {
		return fault.New(fault.NotReady, "this instance is not registered")
	}
	_, err = n.readState(ctx)
	return err
}

// requestJoin returns the version in force on each of others that is serving.
// From then on they report this instance as joining in their acknowledgements.
func (n *node) requestJoin(ctx context.Context, others []peers.Peer) []Reference {
	var mu sync.Mutex
	var answers []Reference
	var g errgroup.Group
	g.SetLimit(n.cfg.maxConcurrentCalls)
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
