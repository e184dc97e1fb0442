package instance_test

import (
	"context"
	"encoding/json"
	"net"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"cicadawell.dev/fleet/clock"
	"cicadawell.dev/fleet/pipe"
	"cicadawell.dev/router/instance"
	"cicadawell.dev/router/progress"
	"github.com/matryer/is"
)

// slowReader is a connection from which bytes arrive at a limited rate.
type slowReader struct {
	net.Conn
	bytesPerSecond int
}

func (r slowReader) Read(p []byte) (int, error) {
	n, err := r.Conn.Read(p)
	_ = clock.System().Sleep(context.Background(), time.Duration(n)*time.Second/time.Duration(r.bytesPerSecond))
	return n, err
}

// TestLargeAnswerOverNarrowLinkArrives guards against deadlines for a whole message, which
// end the call, or the connection and all its calls, while the message is still arriving.
func TestLargeAnswerOverNarrowLinkArrives(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const size = 1_000_000
		l := pipe.Listen()
		b := instance.New(instance.WithID("b"))
		b.Handle("large", func(context.Context, string, json.RawMessage) (any, error) { return strings.Repeat("x", size), nil })
		a := instance.New(instance.WithID("a"), instance.WithDialer(func(context.Context, string) (net.Conn, error) {
			c, err := l.Dial()
			return slowReader{Conn: c, bytesPerSecond: size / 3}, err
		}))
		var group sync.WaitGroup
		group.Go(func() { _ = b.Serve(l) })
		a.SetAddresses(map[string]string{"b": "b"})
		ctx, cancel := progress.WithLimits(t.Context(), clock.System(), clock.SystemTimers(), progress.Limits{Silence: 100 * time.Millisecond, Total: 10 * time.Second})
		defer cancel()
		var out string
		is.NoErr(a.Call(ctx, "b", "large", nil, &out))
		is.Equal(len(out), size)
		is.NoErr(a.Close())
		is.NoErr(b.Close())
		group.Wait()
	})
}
