package link

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"cicadawell.dev/fleet/answer"
)

// Request is a request to send. Exchange doesn't modify it, so it can be sent
// again.
type Request struct {
	Method string
	// Target is the path and query as written in the request line.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// MaxIdleTime bounds how long the reused connection was idle; zero means that
	// a new connection is dialed.
	MaxIdleTime time.Duration
	// MaySend is called once there is a connection and reports whether the request
	// may still be sent. Nil means that it may.
	MaySend func() bool
	// MatchResponse reports whether a response belongs to the request. Other
	// responses are discarded. Nil accepts every response.
	MatchResponse func(h Head) bool
}

// Head is the head of a response.
type Head struct {
	Status int
	Header http.Header
	// Reused is true if the connection carried an exchange before, so that the
	// response may belong to that one.
	Reused bool
}

// ErrSendNotAllowed is the cause of an Error if Request.MaySend returned false.
// Nothing was sent.
var ErrSendNotAllowed = errors.New("the runner takes no calls any more")

// ErrTooManyConnections is the cause of an Error if the bound on connections was reached.
// Nothing was sent. It is an ErrSendNotAllowed, since the address isn't at fault.
var ErrTooManyConnections error = tooManyConnections{}

type tooManyConnections struct{}

func (tooManyConnections) Error() string { return "too many connections to runners are open" }

func (tooManyConnections) Is(target error) bool { return target == ErrSendNotAllowed }

// Error is the failure of an exchange.
type Error struct {
	// Sent is false if no byte of the request was sent to the runner. It is true
	// if bytes may have been sent.
	Sent bool
	// Reused is true if the exchange used a pooled connection.
	Reused bool
	Err    error
}

func (e *Error) Error() string {
	return fmt.Sprintf("exchange (sent %t, reused %t): %v", e.Sent, e.Reused, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Response is an HTTP response whose body may not have arrived yet.
type Response struct {
	Status int
	Header http.Header
	// Body ends with io.EOF only if the body is complete by its framing, or if
	// the response has no framing and the runner ended it without a reset.
	Body io.Reader
	// Length is the Content-Length of the body, negative if unknown.
	Length int64
	// Framed is true if the body has a Content-Length or is chunked, and false if
	// it ends when the connection is closed.
	Framed bool
	// Reused is true if the connection carried an exchange before.
	Reused bool

	ex *exchange
}

// Close ends the exchange. The connection returns to the pool only if the body
// was read to its end.
func (a *Response) Close() { a.ex.release() }

// Abort resets the connection at once, even while the body is being read. The
// caller still has to call Close.
func (a *Response) Abort() { a.ex.conn.reset() }

// maxInlineWriteBytes is the body size up to which a request is written without
// a separate goroutine: the send buffer of an idle socket holds that much, so the
// write doesn't block.
const maxInlineWriteBytes = 8 << 10

// maxCopiedBodyBytes is the body size up to which a request is copied to be written at
// once. Longer bodies are written from where they are.
const maxCopiedBodyBytes = 64 << 10

// writeGracePeriod is how long after the end of a response the write of its
// request may still complete: the goroutine that writes it may not have been
// scheduled since.
const writeGracePeriod = 20 * time.Millisecond

// maxStrayResponses bounds the responses to other requests that are discarded
// before the connection is closed.
const maxStrayResponses = 2

var (
	errStrayResponses     = errors.New("answers of other requests arrived")
	errUnrequestedUpgrade = errors.New("switching protocols was not asked for")
)

// exchange is the state of one request on a connection.
type exchange struct {
	pool *pool
	conn *conn
	// stop deregisters the callback that resets the connection when the context
	// is done.
	stop func() bool
	// group tracks the goroutine that writes a long body.
	group sync.WaitGroup
	// written is closed once the write has ended and writeErr is set.
	written  chan struct{}
	writeErr error
	body     *bodyReader
	once     sync.Once
}

func (p *pool) Exchange(ctx context.Context, address string, req *Request) (*Response, error) {
	if err := ctx.Err(); err != nil {
		return nil, &Error{Err: err}
	}
	var c *conn
	if req.MaxIdleTime > 0 {
		c = p.getIdle(address, req.MaxIdleTime)
	}
	if c == nil {
		opened, err := p.open(ctx, address)
		if err != nil {
			return nil, &Error{Err: err}
		}
		c = opened
	}
	if req.MaySend != nil && !req.MaySend() {
		p.putIdle(c)
		return nil, &Error{Reused: c.used, Err: ErrSendNotAllowed}
	}
	ex := &exchange{pool: p, conn: c, written: make(chan struct{})}
	// Resetting the connection is the only way to interrupt a read, and the runner
	// cancels the request when its connection ends.
	ex.stop = context.AfterFunc(ctx, c.reset)
	ex.send(req)
	a, err := ex.readHead(req)
	if err != nil {
		ex.abort()
		if cause := context.Cause(ctx); cause != nil {
			err = cause
		}
		if c.used && !errors.Is(err, context.Canceled) {
			// The path may have lost the state of all open connections.
			p.CloseIdle(address)
		}
		return nil, &Error{Sent: true, Reused: c.used, Err: err}
	}
	return a, nil
}

// send writes the request. A long body is written while the response is read,
// since a runner may respond before it has read the whole request.
func (ex *exchange) send(req *Request) {
	if len(req.Body) <= maxInlineWriteBytes {
		ex.write(req)
		return
	}
	ex.group.Go(func() { ex.write(req) })
}

func (ex *exchange) write(req *Request) {
	ex.writeErr = writeRequest(ex.conn, req)
	close(ex.written)
}

// longAgo is a deadline that ends a blocked write.
var longAgo = time.Unix(1, 0)

// unseenReset returns the failure of the connection that a read of the body didn't see, or
// nil. The kernel reports a failure to one call only, and if that was the write of the
// request, the read sees an ordinary end. EPIPE is no such failure: it means that the runner
// had ended the body before. A write that is still blocked has seen none and is given up.
func (ex *exchange) unseenReset() error {
	select {
	case <-ex.written:
	case <-ex.pool.clk.After(writeGracePeriod):
		_ = ex.conn.SetWriteDeadline(longAgo)
		<-ex.written
	}
	if errors.Is(ex.writeErr, syscall.EPIPE) || errors.Is(ex.writeErr, os.ErrDeadlineExceeded) {
		return nil
	}
	return ex.writeErr
}

// abort resets the connection and waits for the writer.
func (ex *exchange) abort() {
	ex.stop()
	ex.conn.reset()
	ex.group.Wait()
}

// writeRequest writes a request that isn't long with a single system call, so that most
// requests fit in one TCP segment.
func writeRequest(c *conn, req *Request) error {
	b := &c.writeBuf
	b.Reset()
	b.WriteString(req.Method + " " + req.Target + " HTTP/1.1\r\nHost: " + req.Host + "\r\n")
	if err := req.Header.Write(b); err != nil {
		return err
	}
	if len(req.Body) > 0 || (req.Method != http.MethodGet && req.Method != http.MethodHead) {
		b.WriteString("Content-Length: " + strconv.Itoa(len(req.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	long := len(req.Body) > maxCopiedBodyBytes
	if !long {
		b.Write(req.Body)
	}
	_, err := c.Write(b.Bytes())
	if b.Cap() > maxInlineWriteBytes {
		*b = bytes.Buffer{}
	}
	if err == nil && long {
		_, err = c.Write(req.Body)
	}
	return err
}

// readHead reads responses until one belongs to the request. It skips interim
// responses and discards up to maxStrayResponses responses to other requests.
func (ex *exchange) readHead(req *Request) (*Response, error) {
	httpReq := &http.Request{Method: req.Method}
	source := ex.conn.source
	source.boundHead()
	defer source.unbound()
	for discarded := 0; discarded <= maxStrayResponses; {
		resp, err := source.readHead(ex.conn.r, httpReq)
		if err != nil {
			return nil, err
		}
		if resp.StatusCode == http.StatusSwitchingProtocols {
			return nil, errUnrequestedUpgrade
		}
		if resp.StatusCode < http.StatusOK {
			continue
		}
		if req.MatchResponse != nil && !req.MatchResponse(Head{Status: resp.StatusCode, Header: resp.Header, Reused: ex.conn.used}) {
			if !framed(resp) {
				return nil, errStrayResponses
			}
			source.boundBytes(maxDiscardBytes)
			if _, err := io.Copy(io.Discard, resp.Body); err != nil {
				return nil, err
			}
			source.boundHead()
			discarded++
			continue
		}
		return ex.newResponse(resp, discarded > 0), nil
	}
	return nil, errStrayResponses
}

// framed reports whether the body of a response ends before its connection does.
func framed(resp *http.Response) bool {
	return resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0 || resp.Body == http.NoBody
}

func (ex *exchange) newResponse(resp *http.Response, stray bool) *Response {
	isFramed := framed(resp)
	ex.body = &bodyReader{r: resp.Body, resp: resp, complete: resp.Body == http.NoBody}
	if !isFramed {
		ex.body.unseenReset = ex.unseenReset
	}
	ex.conn.idleTimeout = min(ex.conn.idleTimeout, keepAliveTimeout(resp.Header, ex.conn.idleTimeout))
	if resp.Close || !isFramed || stray {
		ex.conn.idleTimeout = 0
	}
	return &Response{
		Status: resp.StatusCode, Header: resp.Header, Body: ex.body, Length: resp.ContentLength,
		Framed: isFramed, Reused: ex.conn.used, ex: ex,
	}
}

// keepAliveTimeout returns half of the idle timeout in the server's Keep-Alive
// header, or limit if there is none.
func keepAliveTimeout(h http.Header, limit time.Duration) time.Duration {
	for part := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if n, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
			return time.Duration(n) * time.Second / 2
		}
	}
	return limit
}

// release returns the connection to the pool if the request was written and the
// response read completely and no data is left unread. Otherwise it closes it.
func (ex *exchange) release() {
	ex.once.Do(func() {
		if !ex.stop() || !ex.body.complete {
			ex.abort()
			return
		}
		select {
		case <-ex.written:
		case <-ex.pool.clk.After(writeGracePeriod):
			// The runner responded before it read the whole body. It would take the
			// next request on this connection for the rest of the body.
			ex.abort()
			return
		}
		ex.group.Wait()
		if ex.writeErr != nil {
			ex.conn.reset() // discards the rest of the request
			return
		}
		if ex.conn.idleTimeout <= 0 || ex.conn.r.Buffered() > 0 {
			ex.conn.close()
			return
		}
		ex.conn.used = true
		ex.pool.putIdle(ex.conn)
	})
}

// bodyReader reads a body and records whether it was read to its end.
type bodyReader struct {
	r io.Reader
	// resp has the trailer once the body was read.
	resp *http.Response
	// unseenReset returns an error if the end of the connection isn't that of the body. It
	// is nil if the body is framed.
	unseenReset func() error
	complete    bool
}

func (b *bodyReader) Read(p []byte) (int, error) {
	n, err := b.r.Read(p)
	if err != io.EOF {
		return n, err
	}
	if err := b.checkEnd(); err != nil {
		return n, err
	}
	b.complete = true
	return n, io.EOF
}

func (b *bodyReader) checkEnd() error {
	if b.unseenReset != nil {
		return b.unseenReset()
	}
	return answer.CheckNames(b.resp.Trailer)
}
