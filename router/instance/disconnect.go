package instance

import (
	"context"
	"sync"
)

type disconnectKey struct{}

// withDisconnect adds to ctx the channel that is closed when the caller's
// connection closes.
func withDisconnect(ctx context.Context, disconnected <-chan struct{}) context.Context {
	return context.WithValue(ctx, disconnectKey{}, disconnected)
}

// CancelOnDisconnect runs do with a context that is canceled when the connection
// over which the call of ctx arrived closes, since the answer can't be delivered
// then.
func CancelOnDisconnect(ctx context.Context, do func(ctx context.Context)) {
	gone, ok := ctx.Value(disconnectKey{}).(<-chan struct{})
	if !ok {
		do(ctx)
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	done := make(chan struct{})
	var group sync.WaitGroup
	group.Go(func() {
		select {
		case <-gone:
			cancel()
		case <-done:
		}
	})
	do(ctx)
	close(done)
	group.Wait()
}
