package link

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Request is what is sent. It doesn't change and may be sent again.
type Request struct {
	Method string
	// Target is the path with the query as it stands in the request line.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// MaxIdle bounds the age of an idle connection that carries it; zero means
	// that a new connection is opened.
	MaxIdle time.Duration
	// Usable reports, once there is a connection, whether the request may still be
	// sent. Nil takes it for granted.
	Usable func() bool
	// Accept reports whether an answer belongs to this request. Answers that
	// don't are dropped. Nil takes each answer.
	Accept func(h http.Header) bool
}

// ErrUnusable is the cause of an exchange that wasn't made since its request may
// no longer be sent.
var ErrUnusable = errors.New("the runner takes no calls any more")

// Error is the failure of an exchange.
type Error struct {
	// Sent is false if no byte of the request left for the runner.
	Sent bool
	// Reused is true if the exchange was tried on a kept connection.
	Reused bool
	Err    error
}

func (e *Error) Error() string {
	return fmt.Sprintf("exchange (sent %t, reused %t): %v", e.Sent, e.Reused, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Answer is an answer whose body may still be on the way.
type Answer struct {
	Status int
	Header http.Header
	// Body ends with io.EOF only if the body is complete by its framing, or
	// if the answer had no length and the connection ended in order.
	Body io.Reader
	// Length is the announced length of the body, negative if there is none.
	Length int64
	// Framed is false if the body ends with its connection.
	Framed bool
	// Reused is true if the connection had served before.
	Reused bool

	ex *exchange
}

// Close ends the exchange. The connection is kept only if the body was read to
// its end.
func (a *Answer) Close() { a.ex.finish() }

// Cut closes the connection at once, also while the body is being read. The
// answer is closed as well afterwards.
func (a *Answer) Cut() { a.ex.conn.close() }

// directWrite is the size up to which a request is written without a goroutine
// of its own: the buffer of an idle socket takes that much at once.
const directWrite = 8 << 10

// writerGrace is how long after the end of an answer the writing of its request
// may end: the goroutine that wrote it may not have run since.
const writerGrace = 20 * time.Millisecond

// maxSurplus bounds the answers to other requests that are dropped before the
// connection is given up.
const maxSurplus = 2

var (
	errSurplus  = errors.New("answers of other requests arrived")
	errInformal = errors.New("switching protocols was not asked for")
)

// exchange is the state of one request on a connection.
type exchange struct {
	pool *pool
	conn *conn
	// stop ends the watch of the context.
	stop func() bool
	// group has the goroutine that writes a long body.
	group sync.WaitGroup
	// written receives once the request was written; it has room for it.
	written chan error
	body    *bodyReader
	once    sync.Once
}

func (p *pool) Exchange(ctx context.Context, address string, req *Request) (*Answer, error) {
	if err := ctx.Err(); err != nil {
		return nil, &Error{Err: err}
	}
	var c *conn
	if req.MaxIdle > 0 {
		c = p.take(address, req.MaxIdle)
	}
	if c == nil {
		fresh, err := p.open(ctx, address)
		if err != nil {
			return nil, &Error{Err: err}
		}
		c = fresh
	}
	if req.Usable != nil && !req.Usable() {
		p.put(c)
		return nil, &Error{Reused: c.used, Err: ErrUnusable}
	}
	ex := &exchange{pool: p, conn: c, written: make(chan error, 1)}
	// Closing is the only way to end a read at once, and the runner drops the
	// request with its connection.
	ex.stop = context.AfterFunc(ctx, c.close)
	ex.send(req)
	a, err := ex.head(req)
	if err != nil {
		ex.abort()
		if cause := context.Cause(ctx); cause != nil {
			err = cause
		}
		return nil, &Error{Sent: true, Reused: c.used, Err: err}
	}
	return a, nil
}

// send writes the request. A long body is written while the answer is read,
// since a runner may answer before it has read everything.
func (ex *exchange) send(req *Request) {
	if len(req.Body) <= directWrite {
		ex.written <- write(ex.conn, req)
		return
	}
	ex.group.Go(func() { ex.written <- write(ex.conn, req) })
}

// abort closes the connection and waits for the writer.
func (ex *exchange) abort() {
	ex.stop()
	ex.conn.close()
	ex.group.Wait()
}

// write sends the whole request with one call, so that most requests leave in
// one segment.
func write(c *conn, req *Request) error {
	b := &c.out
	b.Reset()
	b.WriteString(req.Method + " " + req.Target + " HTTP/1.1\r\nHost: " + req.Host + "\r\n")
	if err := req.Header.Write(b); err != nil {
		return err
	}
	if len(req.Body) > 0 || (req.Method != http.MethodGet && req.Method != http.MethodHead) {
		b.WriteString("Content-Length: " + strconv.Itoa(len(req.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	b.Write(req.Body)
	_, err := c.Write(b.Bytes())
	if b.Cap() > directWrite {
		*b = bytes.Buffer{}
	}
	return err
}

// head reads answers until one belongs to the request.
func (ex *exchange) head(req *Request) (*Answer, error) {
	method := &http.Request{Method: req.Method}
	source := ex.conn.source
	source.left = maxHead
	defer func() { source.left = -1 }()
	for dropped := 0; dropped <= maxSurplus; {
		resp, err := http.ReadResponse(ex.conn.r, method)
		if err != nil {
			return nil, err
		}
		if resp.StatusCode == http.StatusSwitchingProtocols {
			return nil, errInformal
		}
		if resp.StatusCode < http.StatusOK {
			continue
		}
		if req.Accept != nil && !req.Accept(resp.Header) {
			source.left = maxDropped
			if _, err := io.Copy(io.Discard, resp.Body); err != nil {
				return nil, err
			}
			source.left = maxHead
			dropped++
			continue
		}
		return ex.answer(resp, dropped > 0), nil
	}
	return nil, errSurplus
}

func (ex *exchange) answer(resp *http.Response, surplus bool) *Answer {
	framed := resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
	ex.body = &bodyReader{r: resp.Body, done: resp.Body == http.NoBody}
	ex.conn.idleLimit = min(ex.conn.idleLimit, announcedIdle(resp.Header, ex.conn.idleLimit))
	if resp.Close || !framed || surplus {
		ex.conn.idleLimit = 0
	}
	return &Answer{
		Status: resp.StatusCode, Header: resp.Header, Body: ex.body, Length: resp.ContentLength,
		Framed: framed, Reused: ex.conn.used, ex: ex,
	}
}

// announcedIdle returns half of the idle timeout that the server announces, or
// the given limit.
func announcedIdle(h http.Header, limit time.Duration) time.Duration {
	for part := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if n, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
			return time.Duration(n) * time.Second / 2
		}
	}
	return limit
}

// finish keeps the connection if the request was written whole, the answer was
// read whole, and nothing else waits on it.
func (ex *exchange) finish() {
	ex.once.Do(func() {
		if !ex.stop() || !ex.body.done || ex.conn.idleLimit <= 0 {
			ex.abort()
			return
		}
		select {
		case err := <-ex.written:
			ex.group.Wait()
			if err != nil || ex.conn.r.Buffered() > 0 {
				ex.conn.close()
				return
			}
		case <-ex.pool.clk.After(writerGrace):
			// The runner answered before it read the whole body; other bytes
			// where the rest is due would be taken for it.
			ex.abort()
			return
		}
		ex.conn.used = true
		ex.pool.put(ex.conn)
	})
}

// bodyReader notes whether a body was read to its end.
type bodyReader struct {
	r    io.Reader
	done bool
}

func (b *bodyReader) Read(p []byte) (int, error) {
	n, err := b.r.Read(p)
	if err == io.EOF {
		b.done = true
	}
	return n, err
}
