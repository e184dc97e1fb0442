package instance

import (
	"context"
	"sync"
)

type disconnectKey struct{}

// withDisconnect notes in ctx what is closed with the caller's connection.
func withDisconnect(ctx context.Context, gone <-chan struct{}) context.Context {
	return context.WithValue(ctx, disconnectKey{}, gone)
}

// WhileConnected runs do with a context that ends when the connection does over
// which the call of ctx came in: the answer can't be delivered any more then.
func WhileConnected(ctx context.Context, do func(ctx context.Context)) {
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
