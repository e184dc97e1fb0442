package link

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"math"
	"net/http"

	"cicadawell.dev/fleet/answer"
)

const (
	// maxHeadBytes bounds the data read until the head of a response is complete,
	// including interim (1xx) responses. It is several times what servers usually
	// allow.
	maxHeadBytes = 64 << 10
	// maxHeadLines bounds the lines of the head, since a field takes far more memory than
	// its bytes. Servers send some tens.
	maxHeadLines = 128
	// maxDiscardBytes bounds the discarded body of a response to another request.
	maxDiscardBytes = 1 << 20
)

var errHeadTooLong = errors.New("the head of the answer doesn't end")

// boundedReader reads a connection. While a bound is set it fails with
// errHeadTooLong once that many bytes or lines were read.
type boundedReader struct {
	r io.Reader
	// remaining is how many bytes may still be read, negative if unbounded.
	remaining int64
	// lines is how many lines may be read until the last read begins. What follows a
	// head in that read doesn't count.
	lines int
	// head checks what is read while a bound is set.
	head headScanner
}

func newBoundedReader(r io.Reader) *boundedReader { return &boundedReader{r: r, remaining: -1} }

// boundHead bounds what is read until unbound as one head.
func (h *boundedReader) boundHead() { h.remaining, h.lines = maxHeadBytes, maxHeadLines }

// boundBytes bounds what is read until unbound by its size only.
func (h *boundedReader) boundBytes(n int64) { h.remaining, h.lines = n, math.MaxInt }

func (h *boundedReader) unbound() { h.remaining = -1 }

func (h *boundedReader) Read(p []byte) (int, error) {
	if h.remaining < 0 {
		return h.r.Read(p)
	}
	if h.remaining == 0 || h.lines < 0 {
		return 0, errHeadTooLong
	}
	n, err := h.r.Read(p[:min(int64(len(p)), h.remaining)])
	h.remaining -= int64(n)
	h.lines -= bytes.Count(p[:n], []byte("\n"))
	if scanErr := h.head.scan(p[:n]); scanErr != nil {
		return 0, scanErr
	}
	return n, err
}

// readHead reads the next head from r, whose source is h, and checks it.
func (h *boundedReader) readHead(r *bufio.Reader, req *http.Request) (*http.Response, error) {
	h.head = headScanner{}
	buffered, _ := r.Peek(r.Buffered()) // arrived with what was before the head
	if err := h.head.scan(buffered); err != nil {
		return nil, err
	}
	resp, err := http.ReadResponse(r, req)
	if err != nil {
		return nil, err
	}
	if err := answer.CheckStatus(resp.StatusCode); err != nil {
		return nil, err
	}
	return resp, nil
}

// ReadResponse reads the head of the only response on a connection. The head is
// bounded, the body is not. The body fails at its end if it has a malformed trailer.
func ReadResponse(r io.Reader, req *http.Request) (*http.Response, error) {
	h := newBoundedReader(r)
	h.boundHead()
	defer h.unbound()
	resp, err := h.readHead(bufio.NewReader(h), req)
	if err != nil {
		return nil, err
	}
	resp.Body = &checkedBody{Reader: &bodyReader{r: resp.Body, resp: resp}, Closer: resp.Body}
	return resp, nil
}

// checkedBody reads a body with a check of its end, and closes it.
type checkedBody struct {
	io.Reader
	io.Closer
}
