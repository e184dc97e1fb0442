package answer

import (
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"sync/atomic"

	"github.com/rotisserie/eris"
)

// NewTransport returns a transport that fails calls whose answers are malformed. It closes
// their connections.
func NewTransport(base *http.Transport) http.RoundTripper { return &transport{base: base} }

type transport struct{ base *http.Transport }

func (t *transport) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := t.base.RoundTrip(r.WithContext(httptrace.WithClientTrace(r.Context(), interimCheck())))
	if err != nil {
		return nil, err
	}
	if err := check(resp); err != nil {
		_ = resp.Body.Close()
		t.base.CloseIdleConnections() // has the connection if there is no body
		return nil, err
	}
	return resp, nil
}

// CloseIdleConnections closes the connections that no call uses.
func (t *transport) CloseIdleConnections() { t.base.CloseIdleConnections() }

func check(resp *http.Response) error {
	if err := CheckStatus(resp.StatusCode); err != nil {
		return err
	}
	return CheckNames(resp.Header)
}

// maxInterimAnswers bounds the interim answers to a call. Servers send one or two.
const maxInterimAnswers = 10

// interimCheck fails a call that gets a malformed interim answer, or too many: net/http
// doesn't bound the answers that it shows.
func interimCheck() *httptrace.ClientTrace {
	var n atomic.Int32
	return &httptrace.ClientTrace{Got1xxResponse: func(_ int, fields textproto.MIMEHeader) error {
		if n.Add(1) > maxInterimAnswers {
			return errInterimAnswers
		}
		return CheckNames(http.Header(fields))
	}}
}

var errInterimAnswers = eris.New("too many interim answers")
