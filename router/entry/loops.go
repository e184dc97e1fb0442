package entry

import (
	"context"
	"sync/atomic"

	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/errgroup"
)

// loops are the background loops of an instance.
type loops struct {
	ctx    context.Context
	cancel context.CancelFunc
	group  errgroup.Group
	log    hclog.Logger
	// stopping is true once loops may end by themselves.
	stopping atomic.Bool
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
		if !l.stopping.Load() {
			l.log.Error("loop ended", "loop", name, "error", err)
		}
		return nil
	})
}

// expectEnd says that loops may end by themselves from now on.
func (l *loops) expectEnd() { l.stopping.Store(true) }

// stop ends the loops and waits for them.
func (l *loops) stop() error {
	l.expectEnd()
	l.cancel()
	return l.group.Wait()
}
