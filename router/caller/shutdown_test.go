package caller_test

import (
	"bufio"
	"context"
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
	"github.com/matryer/is"
)

// observedListener reports the bytes that the server reads, and when it closes the
// listener.
type observedListener struct {
	net.Listener
	read   chan int
	closed chan struct{}
	once   sync.Once
}

func (l *observedListener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &observedConn{Conn: nc, read: l.read}, nil
}

func (l *observedListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

type observedConn struct {
	net.Conn
	read chan int
}

func (c *observedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.read <- n
	}
	return n, err
}

// TestShutdownAnswersRequestsReadInPart sends the rest of a request on a kept
// connection after the server has closed its listener.
func TestShutdownAnswersRequestsReadInPart(t *testing.T) {
	const request = requestHead + "Content-Length: 11\r\n\r\n{\"input\":1}"
	for name, n := range map[string]int{"one byte": 1, "part of the header": 30, "header": len(request) - 11, "part of the body": len(request) - 3} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newServer(newFakes())
			nl, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			l := &observedListener{Listener: nl, read: make(chan int, 10_000), closed: make(chan struct{})}
			awaitRead := func(n int) {
				for n > 0 {
					n -= <-l.read
				}
			}
			var group sync.WaitGroup
			defer group.Wait()
			group.Go(func() { _ = s.Serve(l) })
			conn, err := net.Dial("tcp", nl.Addr().String())
			is.NoErr(err)
			defer func() { _ = conn.Close() }()
			r := bufio.NewReader(conn)
			_, err = io.WriteString(conn, request)
			is.NoErr(err)
			resp, err := http.ReadResponse(r, nil)
			is.NoErr(err)
			_, err = io.ReadAll(resp.Body)
			is.NoErr(err)
			awaitRead(len(request))

			_, err = io.WriteString(conn, request[:n])
			is.NoErr(err)
			awaitRead(n)
			s.StartDraining()
			var shutdownErr error
			group.Go(func() { shutdownErr = s.Shutdown(t.Context()) })
			<-l.closed
			_, err = io.WriteString(conn, request[n:])
			is.NoErr(err)
			resp, err = http.ReadResponse(r, nil)
			is.NoErr(err)
			body, err := io.ReadAll(resp.Body)
			is.NoErr(err)
			is.Equal(resp.StatusCode, http.StatusOK)
			is.True(resp.Close)
			is.True(strings.Contains(string(body), `"output":1`))
			_ = conn.Close()
			group.Wait()
			is.NoErr(shutdownErr)
		})
	}
}

// TestShutdownBoundsTheDeadlineOfRequestsReadLate guards against requests that are begun
// in a shutdown and cut by its end. The deadline of the pipeline is 1 s.
func TestShutdownBoundsTheDeadlineOfRequestsReadLate(t *testing.T) {
	const request = requestHead + "Content-Length: 11\r\n\r\n{\"input\":1}"
	for _, c := range []struct{ grace, late, left time.Duration }{
		{2 * time.Second, 1300 * time.Millisecond, 500 * time.Millisecond}, // 200 ms are for the answers
		{4 * time.Second, 1300 * time.Millisecond, time.Second},
	} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			f, l := newFakes(), pipe.Listen()
			s := newServer(f)
			var group sync.WaitGroup
			defer group.Wait()
			group.Go(func() { _ = s.Serve(l) })
			conn, err := l.Dial()
			is.NoErr(err)
			defer func() { _ = conn.Close() }()
			_, err = io.WriteString(conn, request[:30])
			is.NoErr(err)
			s.StartDraining()
			group.Go(func() {
				ctx, cancel := context.WithTimeout(t.Context(), c.grace)
				defer cancel()
				_ = s.Shutdown(ctx)
			})
			_ = clock.System().Sleep(t.Context(), c.late)
			_, err = io.WriteString(conn, request[30:])
			is.NoErr(err)
			status, _ := readAnswer(t, conn)
			is.Equal(status, http.StatusOK)
			is.Equal(f.deadline.Sub(clock.System().Now()), c.left)
		})
	}
}
