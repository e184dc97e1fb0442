package entry

import (
	"context"
	"sync/atomic"

	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/errgroup"
)

// loops runs the background loops of an instance.
type loops struct {
	ctx    context.Context
	cancel context.CancelFunc
	group  errgroup.Group
	log    hclog.Logger
	// stopping is true once a loop that ends is no error.
	stopping atomic.Bool
}

func newLoops(log hclog.Logger) *loops {
	ctx, cancel := context.WithCancel(context.Background())
	return &loops{ctx: ctx, cancel: cancel, log: log.Named("loops")}
}

// start runs a loop until stop. A loop that ends before allowExit or stop is a
// bug and is logged as an error.
func (l *loops) start(name string, run func(ctx context.Context) error) {
	l.group.Go(func() error {
		err := run(l.ctx)
		if !l.stopping.Load() {
			l.log.Error("background loop ended unexpectedly", "loop", name, "error", err)
		}
		return nil
	})
}

// allowExit disables the error log for loops that end from now on.
func (l *loops) allowExit() { l.stopping.Store(true) }

// stop cancels the loops and waits for them.
func (l *loops) stop() error {
	l.allowExit()
	l.cancel()
	return l.group.Wait()
}
