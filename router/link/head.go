package link

import (
	"bufio"
	"errors"
	"io"
	"net/http"
)

const (
	// maxHead bounds what is read of a connection until the head of an answer is
	// complete, together with interim answers: several times what servers usually
	// allow.
	maxHead = 64 << 10
	// maxDropped bounds the body of an answer to another request.
	maxDropped = 1 << 20
)

var errLongHead = errors.New("the head of the answer doesn't end")

// headReader reads a connection. While bounded it fails once too much was read.
type headReader struct {
	r io.Reader
	// left is how many bytes may still be read; negative if any number may.
	left int64
}

func newHeadReader(r io.Reader) *headReader { return &headReader{r: r, left: -1} }

func (h *headReader) Read(p []byte) (int, error) {
	if h.left < 0 {
		return h.r.Read(p)
	}
	if h.left == 0 {
		return 0, errLongHead
	}
	n, err := h.r.Read(p[:min(int64(len(p)), h.left)])
	h.left -= int64(n)
	return n, err
}

// ReadAnswer reads the head of the only answer on a connection.
func ReadAnswer(r io.Reader, req *http.Request) (*http.Response, error) {
	h := newHeadReader(r)
	h.left = maxHead
	resp, err := http.ReadResponse(bufio.NewReader(h), req)
	h.left = -1
	return resp, err
}
