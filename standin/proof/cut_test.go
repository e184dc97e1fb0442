package proof_test

import (
	"errors"
	"io"
	"net"
	"net/http"
	"sync/atomic"
)

// watched counts the calls that a router took and then cut off: no answer came,
// or not the whole of one. A connection that could not be opened is none.
type watched struct {
	http.RoundTripper
	cut atomic.Int64
}

func (w *watched) RoundTrip(r *http.Request) (*http.Response, error) {
	res, err := w.RoundTripper.RoundTrip(r)
	if err != nil {
		w.note(r, err)
		return nil, err
	}
	res.Body = &watchedBody{ReadCloser: res.Body, read: func(err error) { w.note(r, err) }}
	return res, nil
}

func (w *watched) note(r *http.Request, err error) {
	var op *net.OpError
	dialled := !errors.As(err, &op) || op.Op != "dial"
	if dialled && r.Context().Err() == nil {
		w.cut.Add(1)
	}
}

// watchedBody tells of an answer that breaks off.
type watchedBody struct {
	io.ReadCloser
	read func(error)
}

func (b *watchedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil && !errors.Is(err, io.EOF) {
		b.read(err)
	}
	return n, err
}
