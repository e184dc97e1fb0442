package link_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"cicadawell.dev/fleet/answer/answertest"
	"cicadawell.dev/fleet/golden"
	"cicadawell.dev/router/link"
	"github.com/matryer/is"
)

// server answers each request with the next of its scripts and closes the
// connection after the last one.
type server struct {
	address string
	mu      sync.Mutex
	// requests holds the requests of all connections, in order of arrival.
	requests  []string
	connCount int
	conns     []net.Conn
	// closed receives a value after each close of a connection by the server. Its
	// buffer is larger than the number of connections of any test.
	closed chan struct{}
}

// serve starts a server that answers with the raw bytes of the scripts. A script
// that ends in "\x00" leaves the connection open, one that ends in "\x01" resets
// it; the text after "\x02" is repeated until the client closes the connection.
func serve(t *testing.T, scripts ...string) *server {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	s := &server{address: l.Addr().String(), closed: make(chan struct{}, 100)}
	var group sync.WaitGroup
	group.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			s.connCount++
			s.conns = append(s.conns, c)
			s.mu.Unlock()
			group.Go(func() { s.serveConn(c, scripts) })
		}
	})
	t.Cleanup(func() {
		_ = l.Close()
		s.mu.Lock()
		for _, c := range s.conns {
			_ = c.Close()
		}
		s.mu.Unlock()
		group.Wait()
	})
	return s
}

func (s *server) serveConn(c net.Conn, scripts []string) {
	defer func() {
		_ = c.Close()
		s.closed <- struct{}{}
	}()
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		s.mu.Lock()
		n := len(s.requests)
		s.requests = append(s.requests, req.Method+" "+req.RequestURI+" "+string(body))
		s.mu.Unlock()
		if n >= len(scripts) {
			return
		}
		if prefix, text, ok := strings.Cut(scripts[n], "\x02"); ok {
			flood(c, prefix, text)
			return
		}
		text, reset := strings.CutSuffix(scripts[n], "\x01")
		text, open := strings.CutSuffix(text, "\x00")
		if _, err := io.WriteString(c, text); err != nil {
			return
		}
		if reset {
			if tcp, ok := c.(*net.TCPConn); ok {
				_ = tcp.SetLinger(0)
			}
			return
		}
		if !open {
			return
		}
	}
}

// flood writes the prefix, then repeats the text until the connection is closed.
func flood(c net.Conn, prefix, text string) {
	_, err := io.WriteString(c, prefix)
	for block := strings.Repeat(text, 1000); err == nil; {
		_, err = io.WriteString(c, block)
	}
}

func newRequest() *link.Request {
	return &link.Request{
		Method: http.MethodPost, Target: "/run?q=1", Host: "h", Header: http.Header{"Id": {"1"}}, Body: []byte("body"),
		MaxIdleTime: time.Minute, MatchResponse: func(h link.Head) bool { return h.Header.Get("Id") == "1" },
	}
}

// describeExchange makes an exchange and returns a description of its result.
func describeExchange(t *testing.T, pool link.Pool, address string) string {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	a, err := pool.Exchange(ctx, address, newRequest())
	var failed *link.Error
	if errors.As(err, &failed) {
		return "failed, sent " + yesNo(failed.Sent)
	}
	defer a.Close()
	body, err := io.ReadAll(a.Body)
	text := a.Header.Get("Id") + " " + http.StatusText(a.Status) + " " + string(body) + ", framed " + yesNo(a.Framed)
	if err != nil {
		text += ", incomplete"
	}
	return text
}

func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}

// TestAnswers sends the response in each testdata file and compares the results
// of that exchange and of a second one on the same pool.
func TestAnswers(t *testing.T) {
	files, err := filepath.Glob("testdata/*.http")
	is.New(t).NoErr(err)
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			is := is.New(t)
			raw, err := os.ReadFile(file)
			is.NoErr(err)
			first := strings.NewReplacer("\n", "\r\n", "<OPEN>\n", "\x00", "<RESET>\n", "\x01", "<END>\n", "").Replace(string(raw))
			s := serve(t, first, "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 6\r\n\r\nsecond\x00")
			pool := link.NewPool()
			out := describeExchange(t, pool, s.address) + "\n" + describeExchange(t, pool, s.address) + "\n"
			s.mu.Lock()
			defer s.mu.Unlock()
			if s.connCount == 1 {
				out += "one connection\n"
			}
			golden.Check(t, strings.TrimSuffix(file, ".http")+".golden", out)
			is.Equal(len(s.requests), 2) // each exchange sends once
		})
	}
}

func TestNothingIsSentToAClosedPort(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	address := l.Addr().String()
	is.New(t).NoErr(l.Close())
	is.New(t).Equal(describeExchange(t, link.NewPool(), address), "failed, sent no")
}

func TestNothingIsSentIfMaySendReturnsFalse(t *testing.T) {
	is := is.New(t)
	s := serve(t, "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 2\r\n\r\nok\x00")
	pool := link.NewPool()
	req := newRequest()
	req.MaySend = func() bool { return false }
	_, err := pool.Exchange(t.Context(), s.address, req)
	var failed *link.Error
	is.True(errors.As(err, &failed) && !failed.Sent && errors.Is(err, link.ErrSendNotAllowed))
	is.Equal(describeExchange(t, pool, s.address), "1 OK ok, framed yes") // reuses the connection
	is.Equal(len(s.requests), 1)
	is.Equal(s.connCount, 1)
}

// TestClosedIdleConnectionIsNotReused has the server close an idle connection.
// The next exchange must detect this and not send its request on it.
func TestClosedIdleConnectionIsNotReused(t *testing.T) {
	is := is.New(t)
	s := serve(t, "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 2\r\n\r\nok", "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 2\r\n\r\nok\x00")
	pool := link.NewPool()
	is.Equal(describeExchange(t, pool, s.address), "1 OK ok, framed yes")
	<-s.closed
	is.Equal(describeExchange(t, pool, s.address), "1 OK ok, framed yes")
	is.Equal(len(s.requests), 2)
}

func TestCancelledExchangeClosesItsConnection(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = l.Close() }()
	closed := make(chan error, 1)
	read := make(chan struct{})
	var group sync.WaitGroup
	group.Go(func() {
		c, err := l.Accept()
		if err != nil {
			closed <- err
			return
		}
		defer func() { _ = c.Close() }()
		buf := make([]byte, 1<<10)
		_, _ = c.Read(buf)
		close(read)
		for {
			if _, err := c.Read(buf); err != nil {
				closed <- err
				return
			}
		}
	})
	ctx, cancel := context.WithCancel(t.Context())
	group.Go(func() {
		<-read
		cancel()
	})
	_, err = link.NewPool().Exchange(ctx, l.Addr().String(), newRequest())
	var failed *link.Error
	is.True(errors.As(err, &failed) && failed.Sent)
	is.True(errors.Is(err, context.Canceled))
	is.True(<-closed != nil)
	group.Wait()
}

// TestExchangeThatIsGivenUpSendsNothingMore guards against requests that reach a runner
// long after they were given up: the kernel goes on sending what it holds of a closed
// connection, but not of one that was reset. The server reads one byte before the
// end of the exchange.
func TestExchangeThatIsGivenUpSendsNothingMore(t *testing.T) {
	for name, answer := range map[string]string{"before the answer": "", "within the answer": "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\npart"} {
		for size, body := range map[string]int{"short": 10, "long": 8 << 20} {
			t.Run(size+" "+name, func(t *testing.T) {
				is := is.New(t)
				l, err := net.Listen("tcp", "127.0.0.1:0")
				is.NoErr(err)
				defer func() { _ = l.Close() }()
				begun, given, ended := make(chan struct{}), make(chan struct{}), make(chan error, 1)
				var group sync.WaitGroup
				defer group.Wait()
				group.Go(func() {
					c, err := l.Accept()
					if err != nil {
						ended <- err
						return
					}
					defer func() { _ = c.Close() }()
					_, _ = io.ReadFull(c, make([]byte, 1))
					_, _ = io.WriteString(c, answer)
					close(begun)
					<-given
					_, err = io.Copy(io.Discard, c)
					ended <- err
				})
				ctx, cancel := context.WithCancel(t.Context())
				group.Go(func() {
					<-begun
					if answer == "" {
						cancel()
					}
				})
				req := newRequest()
				req.Method, req.Body, req.MatchResponse = http.MethodPost, make([]byte, body), nil
				a, err := link.NewPool().Exchange(ctx, l.Addr().String(), req)
				if answer != "" {
					is.NoErr(err)
					a.Close()
				} else {
					is.True(errors.Is(err, context.Canceled))
				}
				cancel()
				close(given)
				is.True(errors.Is(<-ended, syscall.ECONNRESET))
			})
		}
	}
}

// TestEarlyResponseClosesConnection has a server respond before it reads a long
// body. It would take a second request on that connection for the rest of the
// body, so the connection must not be reused.
func TestEarlyResponseClosesConnection(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	var group sync.WaitGroup
	var mu sync.Mutex
	var conns []net.Conn
	group.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			mu.Lock()
			conns = append(conns, c)
			mu.Unlock()
			group.Go(func() {
				if _, err := bufio.NewReader(c).ReadString('\n'); err == nil {
					_, _ = io.WriteString(c, "HTTP/1.1 503 Service Unavailable\r\nId: 1\r\nContent-Length: 0\r\n\r\n")
				}
			})
		}
	})
	pool := link.NewPool()
	for range 2 {
		req := newRequest()
		req.Body = make([]byte, 16<<20)
		a, err := pool.Exchange(t.Context(), l.Addr().String(), req)
		is.NoErr(err)
		is.Equal(a.Status, 503)
		_, err = io.ReadAll(a.Body)
		is.NoErr(err)
		a.Close()
	}
	is.NoErr(l.Close())
	mu.Lock()
	is.Equal(len(conns), 2)
	for _, c := range conns {
		_ = c.Close()
	}
	mu.Unlock()
	group.Wait()
}

func TestEndlessResponsesAreAborted(t *testing.T) {
	for name, c := range map[string]struct{ prefix, text string }{
		"head without a line":    {"", "x"},
		"one line":               {"HTTP/1.1 200 OK\r\nA: ", "x"},
		"lines":                  {"HTTP/1.1 200 OK\r\n", "A: b\r\n"},
		"interim answers":        {"", "HTTP/1.1 100 Continue\r\n\r\n"},
		"answer of another call": {"HTTP/1.1 200 OK\r\nId: 2\r\n\r\n", "x"},
		"its chunks":             {"HTTP/1.1 200 OK\r\nId: 2\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := serve(t, c.prefix+"\x02"+c.text)
			ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
			defer cancel()
			_, err := link.NewPool().Exchange(ctx, s.address, newRequest())
			var failed *link.Error
			is.True(errors.As(err, &failed) && failed.Sent)
			is.NoErr(ctx.Err()) // fails before the context's deadline
		})
	}
}

// TestMalformedAnswersFailAtOnce has a server answer and leave the connection open.
func TestMalformedAnswersFailAtOnce(t *testing.T) {
	const fields, body = "Id: 1\r\n", "done"
	for name, text := range answertest.Merge(answertest.Malformed(fields, body), answertest.Hidden(fields, body), answertest.WithTrailer(fields, body)) {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := serve(t, text+"\x00", "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 2\r\n\r\nok\x00")
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			pool := link.NewPool()
			defer pool.Close()
			a, err := pool.Exchange(ctx, s.address, newRequest())
			if err == nil {
				_, err = io.ReadAll(a.Body)
				a.Close()
			}
			is.True(err != nil)
			is.NoErr(ctx.Err()) // fails before the context's deadline
			is.Equal(pool.Open(), int64(0))
			is.Equal(describeExchange(t, pool, s.address), "1 OK ok, framed yes")
		})
	}
}

// TestLinesOfBodyAreNotLinesOfHead has a body with many lines arrive together with its head.
func TestLinesOfBodyAreNotLinesOfHead(t *testing.T) {
	is := is.New(t)
	const lines = 3000
	fields := strings.Repeat("A: b\r\n", 100)
	s := serve(t, "HTTP/1.1 200 OK\r\nId: 1\r\n"+fields+fmt.Sprintf("Content-Length: %d\r\n\r\n", lines)+strings.Repeat("\n", lines)+"\x00")
	pool := link.NewPool()
	defer pool.Close()
	a, err := pool.Exchange(t.Context(), s.address, newRequest())
	is.NoErr(err)
	defer a.Close()
	body, err := io.ReadAll(a.Body)
	is.NoErr(err)
	is.Equal(len(body), lines)
}

func TestUnframedAnswerOfAnotherRequestFailsAtOnce(t *testing.T) {
	is := is.New(t)
	s := serve(t, "HTTP/1.1 200 OK\r\nId: 0\r\n\r\nlate\x00")
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	_, err := link.NewPool().Exchange(ctx, s.address, newRequest())
	var failed *link.Error
	is.True(errors.As(err, &failed) && failed.Sent)
	is.NoErr(ctx.Err()) // doesn't wait for the end of the connection
}

// TestIdleConnectionsAreClosedAfterSilenceOnOne has a server that no longer answers on
// its open connections, but does on new ones.
func TestIdleConnectionsAreClosedAfterSilenceOnOne(t *testing.T) {
	is := is.New(t)
	const answer = "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 2\r\n\r\nok\x00"
	s := serve(t, answer, answer, "\x00", answer)
	pool := link.NewPool()
	first, err := pool.Exchange(t.Context(), s.address, newRequest())
	is.NoErr(err)
	is.Equal(describeExchange(t, pool, s.address), "1 OK ok, framed yes") // opens a second connection
	_, err = io.ReadAll(first.Body)
	is.NoErr(err)
	first.Close()
	is.Equal(s.connCount, 2)

	slow := errors.New("slow")
	ctx, cancel := context.WithTimeoutCause(t.Context(), 50*time.Millisecond, slow)
	defer cancel()
	_, err = pool.Exchange(ctx, s.address, newRequest())
	is.True(errors.Is(err, slow))
	is.Equal(describeExchange(t, pool, s.address), "1 OK ok, framed yes")
	s.mu.Lock()
	defer s.mu.Unlock()
	is.Equal(s.connCount, 3)
}

func TestAcceptedConnectionIsKeptForTheNextExchange(t *testing.T) {
	is := is.New(t)
	s := serve(t, "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 2\r\n\r\nok\x00")
	pool := link.NewPool()
	is.True(pool.Accepts(t.Context(), s.address))
	is.Equal(describeExchange(t, pool, s.address), "1 OK ok, framed yes")
	is.Equal(pool.DialCount(), int64(1))
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	is.NoErr(l.Close())
	is.True(!pool.Accepts(t.Context(), l.Addr().String()))
}

func TestCancelledExchangeKeepsIdleConnections(t *testing.T) {
	is := is.New(t)
	const answer = "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 2\r\n\r\nok\x00"
	s := serve(t, answer, answer, answer, answer)
	pool := link.NewPool()
	first, err := pool.Exchange(t.Context(), s.address, newRequest())
	is.NoErr(err)
	is.Equal(describeExchange(t, pool, s.address), "1 OK ok, framed yes")
	_, err = io.ReadAll(first.Body)
	is.NoErr(err)
	first.Close()

	ctx, cancel := context.WithCancel(t.Context())
	req := newRequest()
	req.MatchResponse = func(link.Head) bool {
		cancel()
		return false
	}
	_, err = pool.Exchange(ctx, s.address, req)
	is.True(errors.Is(err, context.Canceled))
	is.Equal(describeExchange(t, pool, s.address), "1 OK ok, framed yes")
	s.mu.Lock()
	defer s.mu.Unlock()
	is.Equal(s.connCount, 2)
}

func TestAnswersWithoutBodyKeepTheirConnection(t *testing.T) {
	for _, c := range []struct{ method, answer string }{
		{http.MethodHead, "HTTP/1.1 200 OK\r\nId: 1\r\n\r\n\x00"},
		{http.MethodHead, "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 9\r\n\r\n\x00"},
		{http.MethodGet, "HTTP/1.1 204 No Content\r\nId: 1\r\n\r\n\x00"},
		{http.MethodGet, "HTTP/1.1 304 Not Modified\r\nId: 1\r\nContent-Length: 9\r\n\r\n\x00"},
		{http.MethodHead, "HTTP/1.1 200 OK\r\nId: 0\r\n\r\nHTTP/1.1 200 OK\r\nId: 1\r\n\r\n\x00"},
	} {
		t.Run(c.method+" "+c.answer, func(t *testing.T) {
			is := is.New(t)
			s := serve(t, c.answer, c.answer)
			pool := link.NewPool()
			for range 2 {
				req := newRequest()
				req.Method, req.Body = c.method, nil
				a, err := pool.Exchange(t.Context(), s.address, req)
				is.NoErr(err)
				body, err := io.ReadAll(a.Body)
				is.NoErr(err)
				is.Equal(len(body), 0)
				a.Close()
			}
			if !strings.Contains(c.answer, "Id: 0") {
				is.Equal(s.connCount, 1)
			}
		})
	}
}
