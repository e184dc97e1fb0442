package main

import (
	"bufio"
	"bytes"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

func newID() string {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// answer is what a client got for a request.
type answer struct {
	status int
	header http.Header
	body   string
	err    error
	// whole is set if the answer is complete.
	whole bool
}

// send sends one request over a new connection and reads its answer, within the deadline.
func send(address, method, target, host string, header [][2]string, body string, deadline time.Duration) answer {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return answer{err: err}
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(deadline))
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nDeadline-Ms: %d\r\n", method, target, host, deadline.Milliseconds())
	for _, h := range header {
		b.WriteString(h[0] + ": " + h[1] + "\r\n")
	}
	if method != http.MethodGet {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(body))
	}
	b.WriteString("\r\n" + body)
	if _, err := c.Write(b.Bytes()); err != nil {
		return answer{err: err}
	}
	r, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: method})
	if err != nil {
		return answer{err: err}
	}
	data, err := io.ReadAll(r.Body)
	return answer{status: r.StatusCode, header: r.Header, body: string(data), err: err}
}

// complete reports whether a stream of a number of events for a request is whole and its own.
func (a answer) complete(id string, events int) bool {
	if a.err != nil || a.status != 200 || a.header.Get("Response-Seal") == "" {
		return false
	}
	var want strings.Builder
	for n := range events {
		fmt.Fprintf(&want, "id: %d\ndata: %s-%d\n\n", n+1, id, n+1)
	}
	return a.body == want.String()
}
