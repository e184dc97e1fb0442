package main

import (
	"context"

	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/errgroup"
)

// loops are the background loops of an instance.
type loops struct {
	ctx    context.Context
	cancel context.CancelFunc
	group  errgroup.Group
	log    hclog.Logger
}

func newLoops(log hclog.Logger) *loops {
	ctx, cancel := context.WithCancel(context.Background())
	return &loops{ctx: ctx, cancel: cancel, log: log.Named("loops")}
}

// start runs a loop until stop. A loop that ends by itself is a defect, which
// is logged.
func (l *loops) start(name string, run func(ctx context.Context) error) {
	l.group.Go(func() error {
		err := run(l.ctx)
		if l.ctx.Err() == nil {
			l.log.Error("loop ended", "loop", name, "error", err)
		}
		return nil
	})
}

// stop ends the loops and waits for them.
func (l *loops) stop() error {
	l.cancel()
	return l.group.Wait()
}
