package drain_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"cicadawell.dev/fleet/clock"
	"cicadawell.dev/fleet/pipe"
	"cicadawell.dev/router/drain"
	"cicadawell.dev/router/memory"
	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"
)

// boundTest has a server in a bubble. Its handler answers /hold after finish is closed, and
// other paths with a text of 100 kB, of which it holds heldBytes.
type boundTest struct {
	*is.I
	server *drain.Server
	finish chan struct{}
	dial   func() net.Conn
}

const (
	heldBytes  = 50_000
	longAnswer = 100_000
)

func withBounds(t *testing.T, account *memory.Account, f func(b boundTest), opts ...drain.Option) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		b := boundTest{I: is.New(t), finish: make(chan struct{})}
		h := func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/hold" {
				select {
				case <-b.finish:
				case <-r.Context().Done():
				}
				return
			}
			c := drain.ConnectionOf(r.Context())
			c.Handle("id")
			if m, ok := c.Memory().(*memory.Connection); ok {
				m.Request().Grow(memory.Bodies, r.ContentLength)
			}
			if _, err := io.Copy(io.Discard, r.Body); err != nil {
				w.WriteHeader(http.StatusRequestTimeout)
				return
			}
			c.EndRequest()
			if m, ok := c.Memory().(*memory.Connection); ok {
				m.Request().Grow(memory.Answers, heldBytes)
				defer m.EndRequest()
			}
			_, _ = io.WriteString(w, strings.Repeat("a", longAnswer))
		}
		opts = append(opts, drain.WithLimits(func() drain.Limits { return drain.Limits{Header: time.Minute, Idle: time.Minute} }))
		if account != nil {
			opts = append(opts, drain.WithMemory(func() drain.Memory { return memory.NewConnection(account) }))
		}
		b.server = drain.NewServer(&http.Server{Handler: http.HandlerFunc(h)}, hclog.NewNullLogger(), opts...)
		l := pipe.Listen()
		var group sync.WaitGroup
		defer group.Wait()
		group.Go(func() { _ = b.server.Serve(l) })
		ctx, cancel := context.WithCancel(context.Background())
		cancel() // ends what a failed test leaves
		defer func() { _ = b.server.Shutdown(ctx, errors.New("end")) }()
		b.dial = func() net.Conn {
			nc, err := l.Dial()
			b.NoErr(err)
			t.Cleanup(func() { _ = nc.Close() })
			synctest.Wait()
			return nc
		}
		f(b)
	})
}

func (b boundTest) send(nc net.Conn, text string) {
	_, err := io.WriteString(nc, text)
	b.NoErr(err)
	synctest.Wait()
}

// skipAnswer reads an answer without a body.
func (b boundTest) skipAnswer(nc net.Conn) {
	resp, err := http.ReadResponse(bufio.NewReader(nc), nil)
	b.NoErr(err)
	b.Equal(resp.StatusCode, http.StatusOK)
	synctest.Wait()
}

// pass lets some time pass.
func (b boundTest) pass(d time.Duration) { b.NoErr(clock.System().Sleep(context.Background(), d)) }

// isClosed reports whether the server has closed a connection that it has sent nothing on.
func (b boundTest) isClosed(nc net.Conn) bool {
	synctest.Wait()
	if err := nc.SetReadDeadline(clock.System().Now().Add(time.Millisecond)); err != nil {
		return true
	}
	_, err := nc.Read(make([]byte, 1))
	var timeout net.Error
	return !errors.As(err, &timeout) || !timeout.Timeout()
}

// TestConnectionsThatWaitAreClosedForNewOnes guards against silent connections that take
// all descriptors of the process. Connections with a call are kept.
func TestConnectionsThatWaitAreClosedForNewOnes(t *testing.T) {
	withBounds(t, nil, func(b boundTest) {
		busy := b.dial()
		b.send(busy, "GET /hold HTTP/1.1\r\nHost: h\r\n\r\n")
		b.pass(2 * time.Second)
		first := b.dial()
		b.pass(time.Millisecond)
		var others []net.Conn
		for range 2 {
			others = append(others, b.dial())
		}
		b.True(!b.isClosed(first)) // 4 of 5
		others = append(others, b.dial())
		b.True(b.isClosed(first))
		for _, nc := range others {
			b.True(!b.isClosed(nc))
		}
		b.Equal(b.server.Stats().Evicted, int64(1))
		b.Equal(b.server.Stats().Refused, int64(0))
		close(b.finish)
		resp, err := http.ReadResponse(bufio.NewReader(busy), nil)
		b.NoErr(err)
		b.Equal(resp.StatusCode, 200)
	}, drain.WithMaxConnections(5))
}

// TestIncompleteHeadersAreClosedForNewConnections guards against connections that never
// complete a header. One that has just begun is kept.
func TestIncompleteHeadersAreClosedForNewConnections(t *testing.T) {
	withBounds(t, nil, func(b boundTest) {
		slow := b.dial()
		b.send(slow, "GET / HTTP/1.1\r\n")
		b.pass(2 * time.Second)
		var begun []net.Conn
		for range 4 {
			nc := b.dial()
			b.send(nc, "GET / HTTP/1.1\r\n")
			begun = append(begun, nc)
		}
		b.True(b.isClosed(slow))
		b.dial()
		b.True(b.isClosed(b.dial())) // refused, as no connection has waited for long
		for _, nc := range begun {
			b.True(!b.isClosed(nc))
		}
	}, drain.WithMaxConnections(5))
}

// TestConnectionsAboveTheMaximumAreRefused guards against calls that take all descriptors
// of the process.
func TestConnectionsAboveTheMaximumAreRefused(t *testing.T) {
	withBounds(t, nil, func(b boundTest) {
		var busy []net.Conn
		for range 5 {
			nc := b.dial()
			b.send(nc, "GET /hold HTTP/1.1\r\nHost: h\r\n\r\n")
			busy = append(busy, nc)
		}
		b.pass(2 * time.Second)
		b.True(b.isClosed(b.dial()))
		b.Equal(b.server.Stats().Refused, int64(1))
		b.Equal(b.server.Stats().Open, 5)
		close(b.finish)
		for _, nc := range busy {
			resp, err := http.ReadResponse(bufio.NewReader(nc), nil)
			b.NoErr(err)
			b.Equal(resp.StatusCode, http.StatusOK)
		}
	}, drain.WithMaxConnections(5))
}

// TestHeadersWithoutMemoryAreClosed guards against headers that fill the memory while they
// are incomplete. Those of a usual size need none.
func TestHeadersWithoutMemoryAreClosed(t *testing.T) {
	account := memory.NewAccount(100_000)
	withBounds(t, account, func(b boundTest) {
		is := b.I
		usual, large := b.dial(), b.dial()
		b.send(large, "GET / HTTP/1.1\r\nHost: h\r\nX: "+strings.Repeat("a", 13_000))
		is.True(!b.isClosed(large))
		is.True(account.Used(memory.Headers) > 8_000)
		b.send(usual, "GET / HTTP/1.1\r\nX: "+strings.Repeat("a", 3_000))
		is.True(!b.isClosed(usual))
		other := b.dial()
		_, _ = io.WriteString(other, "GET / HTTP/1.1\r\nX: "+strings.Repeat("a", 13_000))
		is.True(b.isClosed(other))
		is.NoErr(large.Close())
		synctest.Wait()
		is.Equal(account.Used(memory.Headers), int64(0))
		kept := b.dial()
		close(b.finish)
		b.send(kept, "GET /hold HTTP/1.1\r\nHost: h\r\nX: "+strings.Repeat("a", 13_000)+"\r\n\r\n")
		resp, err := http.ReadResponse(bufio.NewReader(kept), nil)
		is.NoErr(err)
		is.Equal(resp.StatusCode, http.StatusOK)
		synctest.Wait()
		is.Equal(account.Used(memory.Headers), int64(0)) // while the connection is kept
	})
}

// TestRequestIsNotServedWithoutPartOfItsHeader guards against headers read on after a part was dropped.
func TestRequestIsNotServedWithoutPartOfItsHeader(t *testing.T) {
	account := memory.NewAccount(100_000)
	withBounds(t, account, func(b boundTest) {
		close(b.finish)
		nc := b.dial()
		b.send(nc, "GET /hold HTTP/1.1\r\nHost: h\r\n"+strings.Repeat("Y: "+strings.Repeat("a", 1_000)+"\r\n", 13))
		b.send(nc, "X: a")
		_, _ = io.WriteString(nc, strings.Repeat("b", 2_000))
		synctest.Wait()
		_, _ = io.WriteString(nc, "\r\n\r\n")
		synctest.Wait()
		got, err := io.ReadAll(nc)
		b.NoErr(err)
		b.Equal(string(got), "")
	})
}

// TestFieldsWithoutMemoryAreClosed guards against small fields, which take more than their bytes.
func TestFieldsWithoutMemoryAreClosed(t *testing.T) {
	account := memory.NewAccount(1_000_000)
	withBounds(t, account, func(b boundTest) {
		close(b.finish)
		usual, body, many := b.dial(), b.dial(), b.dial()
		b.send(usual, "GET / HTTP/1.1\r\nHost: h\r\n"+strings.Repeat("A:\r\n", 60))
		b.Equal(account.Used(memory.Headers), int64(0))
		b.send(body, "POST /hold HTTP/1.1\r\nHost: h\r\nContent-Length: 1000000\r\n\r\n"+strings.Repeat("a\n", 1_500))
		b.skipAnswer(body)
		// The beginning comes with the request before.
		b.send(many, "GET /hold HTTP/1.1\r\nHost: h\r\n\r\nGET / HTTP/1.1\r\nHost: h")
		b.skipAnswer(many)
		b.send(many, "\r")
		for range 10 {
			b.send(many, "\nA:"+strings.Repeat("\r\nA:", 20)+"\r")
		}
		b.True(account.Used(memory.Headers) > 30_000)
		b.True(!b.isClosed(many))
		b.send(many, "\n")
		_, _ = io.WriteString(many, strings.Repeat("A:\r\n", 500))
		b.True(b.isClosed(many))
		synctest.Wait()
		b.Equal(account.Used(memory.Headers), int64(0))
		b.pass(time.Second) // until net/http has closed the connection with the body
	})
}

// TestAnsweredConnectionsThatCloseHoldNoMemory guards against many answers to requests that
// aren't read to their end, whose connections stay open for a while, taking all memory.
func TestAnsweredConnectionsThatCloseHoldNoMemory(t *testing.T) {
	account := memory.NewAccount(1_000_000)
	withBounds(t, account, func(b boundTest) {
		close(b.finish)
		nc := b.dial()
		b.send(nc, "POST /hold HTTP/1.1\r\nHost: h\r\nContent-Length: 1000000\r\n\r\n")
		resp, err := http.ReadResponse(bufio.NewReader(nc), nil)
		b.NoErr(err)
		b.True(resp.Close)
		synctest.Wait()
		b.Equal(b.server.Stats().Open, 1)
		b.Equal(account.Used(memory.Connections)+account.Used(memory.Calls), int64(0))
		b.pass(time.Second)
		b.Equal(b.server.Stats().Open, 0)
	})
}

// TestSlowReadersAreClosedByWhatTheyHold guards against memory that stays with callers that
// read slowly, and against closing callers that read.
func TestSlowReadersAreClosedByWhatTheyHold(t *testing.T) {
	account := memory.NewAccount(1_000_000)
	withBounds(t, account, func(b boundTest) {
		slow, slower := b.dial(), b.dial()
		for _, nc := range []net.Conn{slow, slower} {
			b.send(nc, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		}
		_, err := io.ReadFull(slow, make([]byte, 40_000))
		b.NoErr(err)
		synctest.Wait()
		b.Equal(b.server.CloseSlowCallers(1), 0) // both have just been written to
		b.pass(2 * time.Second)
		b.Equal(b.server.CloseSlowCallers(1), 1)
		b.Equal(b.server.CloseSlowCallers(1), 0) // shortly before
		synctest.Wait()
		b.Equal(account.Used(memory.Answers), int64(heldBytes))
		rest, err := io.ReadAll(slower)
		b.NoErr(err)
		b.True(len(rest) < longAnswer) // closed in the middle
		_, err = io.ReadFull(slow, make([]byte, 60_000))
		b.NoErr(err)
		synctest.Wait()
		b.Equal(account.Used(memory.Answers), int64(0))
		b.Equal(b.server.Stats().SlowCallers, int64(1))
	})
}

// TestSlowSendersAreEndedByWhatTheyHold guards against memory that stays with callers that
// announce long bodies and send them slowly.
func TestSlowSendersAreEndedByWhatTheyHold(t *testing.T) {
	account := memory.NewAccount(1_000_000)
	withBounds(t, account, func(b boundTest) {
		slow, fast := b.dial(), b.dial()
		const head = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 200000\r\n\r\n"
		b.send(slow, head+"a")
		b.send(fast, head)
		for range 20 {
			b.pass(100 * time.Millisecond)
			b.send(fast, strings.Repeat("a", 5_000))
		}
		b.Equal(b.server.CloseSlowCallers(1_000_000), 1)
		resp, err := http.ReadResponse(bufio.NewReader(slow), nil)
		b.NoErr(err)
		b.Equal(resp.StatusCode, http.StatusRequestTimeout) // it hasn't run
		b.NoErr(slow.Close())
		synctest.Wait()
		b.Equal(account.Used(memory.Bodies), int64(200_000))
		b.send(fast, strings.Repeat("a", 100_000))
		resp, err = http.ReadResponse(bufio.NewReader(fast), nil)
		b.NoErr(err)
		b.Equal(resp.StatusCode, http.StatusOK)
	})
}
