package answer

import (
	"net/http"
	"net/http/httptrace"
	"net/textproto"
)

// NewTransport returns a transport that fails calls whose answers are malformed. It closes
// their connections.
func NewTransport(base *http.Transport) http.RoundTripper { return &transport{base: base} }

type transport struct{ base *http.Transport }

func (t *transport) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := t.base.RoundTrip(r.WithContext(httptrace.WithClientTrace(r.Context(), interimCheck)))
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

// interimCheck fails calls that get a malformed interim answer.
var interimCheck = &httptrace.ClientTrace{
	Got1xxResponse: func(_ int, fields textproto.MIMEHeader) error { return CheckNames(http.Header(fields)) },
}
