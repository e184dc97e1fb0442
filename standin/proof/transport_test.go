package proof_test

import (
	"errors"
	"io"
	"net"
	"net/http"
	"sync/atomic"
)

// countingTransport counts the calls that a router cut off after the connection
// was open: there was no answer or an incomplete one. Calls that failed to
// connect are not counted.
type countingTransport struct {
	http.RoundTripper
	cutCalls atomic.Int64
}

func (w *countingTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	res, err := w.RoundTripper.RoundTrip(r)
	if err != nil {
		w.countCut(r, err)
		return nil, err
	}
	res.Body = &countingBody{ReadCloser: res.Body, onError: func(err error) { w.countCut(r, err) }}
	return res, nil
}

func (w *countingTransport) countCut(r *http.Request, err error) {
	var op *net.OpError
	connected := !errors.As(err, &op) || op.Op != "dial"
	if connected && r.Context().Err() == nil {
		w.cutCalls.Add(1)
	}
}

// countingBody calls onError when reading an answer fails before its end.
type countingBody struct {
	io.ReadCloser
	onError func(error)
}

func (b *countingBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil && !errors.Is(err, io.EOF) {
		b.onError(err)
	}
	return n, err
}
