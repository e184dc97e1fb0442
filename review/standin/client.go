package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// request is one attempt of a client.
type request struct {
	method, host, target, id string
	headers                  []string
	deadline                 time.Duration
	body                     string
}

func (q *request) text() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\nKey: key1\r\n", q.method, q.target, q.host, q.id, q.deadline.Milliseconds())
	for _, h := range q.headers {
		b.WriteString(h + "\r\n")
	}
	if q.method == http.MethodPost {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(q.body))
	}
	b.WriteString("\r\n" + q.body)
	return b.String()
}

// client has one connection to an instance, which it keeps while it may. It never
// repeats a request by itself.
type client struct {
	address string
	conn    net.Conn
	r       *bufio.Reader
}

// outcome is what the client of a request saw.
type outcome struct {
	// status is 0 if the connection ended without the head of an answer.
	status int
	seal   string
	body   string
	// complete is set if the answer came to its end by its framing.
	complete bool
	// sent is set if the whole request was written.
	sent   bool
	ended  time.Time
	reason error
}

// do sends a request and reads its answer. onData is called with each part of the
// body and may be nil.
func (c *client) do(q *request, onData func(p []byte)) (o outcome) {
	defer func() { o.ended = time.Now() }()
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.address, time.Second)
		if err != nil {
			return outcome{reason: err}
		}
		c.conn, c.r = conn, bufio.NewReader(conn)
	}
	_ = c.conn.SetDeadline(time.Now().Add(q.deadline))
	if _, err := io.WriteString(c.conn, q.text()); err != nil {
		c.close()
		return outcome{reason: err}
	}
	o.sent = true
	resp, err := http.ReadResponse(c.r, &http.Request{Method: q.method})
	if err != nil {
		c.close()
		o.reason = err
		return o
	}
	o.status, o.seal = resp.StatusCode, resp.Header.Get("Response-Seal")
	var body []byte
	p := make([]byte, 4096)
	for {
		n, err := resp.Body.Read(p)
		body = append(body, p[:n]...)
		if n > 0 && onData != nil {
			onData(p[:n])
		}
		if err != nil {
			o.complete, o.reason = err == io.EOF, err
			break
		}
	}
	o.body = string(body)
	if !o.complete || resp.Close {
		c.close()
	}
	return o
}

func (c *client) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}
