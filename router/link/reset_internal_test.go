package link

import (
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"testing"

	"github.com/matryer/is"
)

// partOfAnswer has a body that ends with its connection.
const partOfAnswer = "HTTP/1.1 200 OK\r\n\r\npart"

// earlyRunner accepts one connection and answers before it reads the request, of which it
// reads nothing unless end does. The test ends with the connection.
type earlyRunner struct {
	address string
	// answered is closed once the answer was written, ended once end has returned.
	answered, ended chan struct{}
	// mayEnd is closed by the test to have end called.
	mayEnd chan struct{}
}

func startEarlyRunner(t *testing.T, end func(c *net.TCPConn)) *earlyRunner {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	f := &earlyRunner{address: l.Addr().String(), answered: make(chan struct{}), ended: make(chan struct{}), mayEnd: make(chan struct{})}
	var group sync.WaitGroup
	tested := make(chan struct{})
	group.Go(func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer func() { _ = c.Close() }()
		_, _ = io.WriteString(c, partOfAnswer)
		close(f.answered)
		<-f.mayEnd
		end(c.(*net.TCPConn))
		close(f.ended)
		<-tested
	})
	t.Cleanup(func() {
		_ = l.Close()
		close(tested)
		group.Wait()
	})
	return f
}

func resetConn(c *net.TCPConn) { Reset(c) }

func finish(c *net.TCPConn) { _ = c.CloseWrite() }

func finishAndReset(c *net.TCPConn) {
	finish(c)
	Reset(c)
}

func upload(size int) *Request {
	return &Request{Method: http.MethodPost, Target: "/", Host: "h", Header: http.Header{}, Body: make([]byte, size)}
}

// longUpload is more than the buffers of a connection hold.
const longUpload = 32 << 20

// TestResetThatTheWriterSeesEndsTheBody guards against cut bodies that look whole: the kernel
// reports a reset once, and the end of the data to whoever reads after that. The body is read
// once the write of the request has failed.
func TestResetThatTheWriterSeesEndsTheBody(t *testing.T) {
	for name, c := range map[string]struct {
		end   func(c *net.TCPConn)
		whole bool
	}{
		"reset":            {resetConn, false},
		"finish and reset": {finishAndReset, true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := NewPool()
			f := startEarlyRunner(t, c.end)
			a, err := p.Exchange(t.Context(), f.address, upload(longUpload))
			is.NoErr(err)
			close(f.mayEnd)
			a.ex.group.Wait() // the write has failed
			body, err := io.ReadAll(a.Body)
			is.Equal(string(body), "part")
			is.Equal(err == nil, c.whole)
			is.Equal(errors.Is(err, syscall.ECONNRESET), !c.whole)
			_, again := a.Body.Read(make([]byte, 1))
			is.Equal(again == io.EOF, c.whole)
			a.Close()
			is.Equal(p.Open(), int64(0))
		})
	}
}

// TestResetBeforeAShortRequestEndsTheBody is the same for a request that is written before the
// answer is read: the reset is there before the write.
func TestResetBeforeAShortRequestEndsTheBody(t *testing.T) {
	is := is.New(t)
	p := NewPool()
	f := startEarlyRunner(t, resetConn)
	req := upload(10)
	req.MaySend = func() bool {
		close(f.mayEnd)
		<-f.ended
		return true
	}
	a, err := p.Exchange(t.Context(), f.address, req)
	is.NoErr(err)
	body, err := io.ReadAll(a.Body)
	is.Equal(string(body), "part")
	is.True(errors.Is(err, syscall.ECONNRESET))
	a.Close()
	is.Equal(p.Open(), int64(0))
}

// exchangeEarly uploads to a runner that answers early, and expects its whole answer.
func exchangeEarly(t *testing.T, end func(c *net.TCPConn)) {
	t.Helper()
	is := is.New(t)
	p := NewPool()
	f := startEarlyRunner(t, end)
	a, err := p.Exchange(t.Context(), f.address, upload(longUpload))
	is.NoErr(err)
	defer a.Close()
	close(f.mayEnd)
	body, err := io.ReadAll(a.Body)
	is.NoErr(err)
	is.Equal(string(body), "part")
	a.Close()
	is.Equal(p.Open(), int64(0))
}

func TestEarlyAnswerIsWholeIfTheRequestIsReadAfterwards(t *testing.T) {
	exchangeEarly(t, func(c *net.TCPConn) {
		finish(c)
		_, _ = io.Copy(io.Discard, c)
	})
}

// TestEarlyAnswerIsWholeIfTheRequestIsNotRead has the runner read only after the exchange: the
// rest of the request isn't sent.
func TestEarlyAnswerIsWholeIfTheRequestIsNotRead(t *testing.T) {
	exchanged, rest := make(chan struct{}), make(chan error, 1)
	defer func() {
		close(exchanged)
		is.New(t).True(errors.Is(<-rest, syscall.ECONNRESET))
	}()
	exchangeEarly(t, func(c *net.TCPConn) {
		finish(c)
		<-exchanged
		_, err := io.Copy(io.Discard, c)
		rest <- err
	})
}
