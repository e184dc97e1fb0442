package drain_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"

	"cicadawell.dev/router/drain"
	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"
)

// TestCallsAreAnsweredThoughTheTimeForShutdownIsOver blocks a call until its context
// ends.
func TestCallsAreAnsweredThoughTheTimeForShutdownIsOver(t *testing.T) {
	is := is.New(t)
	errLeaving := errors.New("leaving")
	begun := make(chan struct{})
	s := drain.NewServer(&http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		close(begun)
		<-r.Context().Done()
		if errors.Is(context.Cause(r.Context()), errLeaving) {
			w.WriteHeader(http.StatusBadGateway)
		}
	})}, hclog.NewNullLogger())
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	var group sync.WaitGroup
	defer group.Wait()
	group.Go(func() { _ = s.Serve(l) })
	conn, err := net.Dial("tcp", l.Addr().String())
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	is.NoErr(err)
	<-begun
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	group.Go(func() { _ = s.Shutdown(ctx, errLeaving) })
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	is.NoErr(err)
	is.NoErr(resp.Body.Close())
	is.Equal(resp.StatusCode, http.StatusBadGateway)
}
