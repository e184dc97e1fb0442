// Package client calls the HTTP interface for operators.
package client

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"time"

	"cicadawell.dev/fleet/answer"
	"cicadawell.dev/fleet/fault"
	"cicadawell.dev/fleet/operatorapi"
	"github.com/rotisserie/eris"
)

// Timeouts of a call to one server.
const (
	dialTimeout = 3 * time.Second
	callTimeout = 45 * time.Second
)

// ErrUnreachable is the cause of the error returned when no server responded.
var ErrUnreachable = eris.New("no server answered")

// Client tries the servers in order and fails over to the next one. Every call is
// safe to retry, so a call whose response was lost is sent to the next server too.
type Client struct {
	servers []string
	key     string
	http    *http.Client
}

// New returns a client for servers, each an address with a port or a URL.
func New(servers []string, key string) *Client {
	c := &Client{key: key, http: &http.Client{
		Timeout:   callTimeout,
		Transport: answer.NewTransport(&http.Transport{DialContext: (&net.Dialer{Timeout: dialTimeout}).DialContext}),
	}}
	for _, s := range servers {
		if !strings.Contains(s, "://") {
			s = "http://" + s
		}
		c.servers = append(c.servers, strings.TrimSuffix(s, "/"))
	}
	return c
}

// RefusedError is an error response of a server. After a conflict it includes the
// current state that caused it.
type RefusedError struct {
	operatorapi.ErrorResponse
}

// Error returns the text of the error response.
func (e *RefusedError) Error() string { return e.ErrorResponse.Error.Err().Error() }

// Unwrap returns the error response as an error of its kind.
func (e *RefusedError) Unwrap() error { return e.ErrorResponse.Error.Err() }

// Get fetches path and decodes the response.
func (c *Client) Get(ctx context.Context, path string, response any) error {
	return c.call(ctx, http.MethodGet, path, nil, response)
}

// Post sends message to path and decodes the response.
func (c *Client) Post(ctx context.Context, path string, message, response any) error {
	body, err := json.Marshal(message)
	if err != nil {
		return eris.Wrap(err, "encode message")
	}
	return c.call(ctx, http.MethodPost, path, body, response)
}

// call tries the servers in order until one gives a final response. If all fail, it
// returns the last error for which hadNoEffect is false, or else the first error.
func (c *Client) call(ctx context.Context, method, path string, body []byte, response any) error {
	var lastErr error
	for _, server := range c.servers {
		err := c.callServer(ctx, method, server+path, body, response)
		if err == nil || !tryNext(err) {
			return err
		}
		if lastErr == nil || !hadNoEffect(err) {
			lastErr = err
		}
	}
	if lastErr == nil {
		lastErr = eris.New("no server address given")
	}
	return lastErr
}

// hadNoEffect reports whether a call without a response certainly had no effect at the
// server: it was a read, or no connection was established.
func hadNoEffect(err error) bool {
	var u *UnreachableError
	return errors.As(err, &u) && !u.Sent
}

// tryNext reports whether the call is worth retrying at another server.
func tryNext(err error) bool {
	return errors.Is(err, ErrUnreachable) || fault.Is(err, fault.StoreUnavailable) ||
		fault.Is(err, fault.NotReady) || fault.Is(err, fault.Internal)
}

func (c *Client) callServer(ctx context.Context, method, target string, body []byte, response any) error {
	req, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		return fault.Wrap(fault.BadRequest, err, "bad server").WithField("--server")
	}
	req.Header.Set("Authorization", "Bearer "+c.key)
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.http.Do(req)
	if err != nil {
		return &UnreachableError{Sent: method != http.MethodGet && !isDialError(err), cause: eris.Wrapf(err, "call %s", target)}
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, 2*operatorapi.MaxBundleBytes))
	if err != nil {
		return &UnreachableError{Sent: method != http.MethodGet, cause: eris.Wrapf(err, "read answer of %s", target)}
	}
	if resp.StatusCode >= http.StatusBadRequest {
		return responseError(resp.StatusCode, data)
	}
	if err := json.Unmarshal(data, response); err != nil {
		return fault.Wrap(fault.Internal, err, "decode answer of %s", target)
	}
	return nil
}

// UnreachableError is the error of a call that got no complete response.
type UnreachableError struct {
	// Sent reports whether the call may have taken effect at the server.
	Sent  bool
	cause error
}

// Error returns the cause's text.
func (e *UnreachableError) Error() string { return e.cause.Error() }

// Unwrap returns ErrUnreachable and the cause.
func (e *UnreachableError) Unwrap() []error { return []error{ErrUnreachable, e.cause} }

// isDialError reports whether err means that no connection was established.
func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// responseError returns the error of a response with an error status.
func responseError(status int, data []byte) error {
	var r operatorapi.ErrorResponse
	if err := json.Unmarshal(data, &r); err != nil || r.Error.Kind == "" {
		return fault.New(fault.Internal, "status %d without a refusal", status)
	}
	return &RefusedError{ErrorResponse: r}
}

// Path replaces the placeholder in braces in path by the escaped name.
func Path(path, name string) string {
	start := strings.IndexByte(path, '{')
	end := strings.IndexByte(path, '}')
	return path[:start] + url.PathEscape(name) + path[end+1:]
}
