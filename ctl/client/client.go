// Package client calls the interface for operators.
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

	"cicadawell.dev/fleet/fault"
	"cicadawell.dev/fleet/operatorapi"
	"github.com/rotisserie/eris"
)

// Timeouts of a call to one server.
const (
	dialTimeout = 3 * time.Second
	callTimeout = 45 * time.Second
)

// ErrUnreachable is the cause of an error when no server answered.
var ErrUnreachable = eris.New("no server answered")

// Client calls the first server that answers. Every call may be repeated, so
// that a call whose answer was lost goes to the next server.
type Client struct {
	servers []string
	key     string
	http    *http.Client
}

// New returns a client for servers, each an address with a port or a URL.
func New(servers []string, key string) *Client {
	c := &Client{key: key, http: &http.Client{
		Timeout:   callTimeout,
		Transport: &http.Transport{DialContext: (&net.Dialer{Timeout: dialTimeout}).DialContext},
	}}
	for _, s := range servers {
		if !strings.Contains(s, "://") {
			s = "http://" + s
		}
		c.servers = append(c.servers, strings.TrimSuffix(s, "/"))
	}
	return c
}

// RefusedError is a refusal with what stands in the way.
type RefusedError struct {
	operatorapi.Refusal
}

// Error returns the refusal's text.
func (e *RefusedError) Error() string { return e.Refusal.Error.Err().Error() }

// Unwrap returns the refusal as an error with its kind.
func (e *RefusedError) Unwrap() error { return e.Refusal.Error.Err() }

// Get fetches path into answer.
func (c *Client) Get(ctx context.Context, path string, answer any) error {
	return c.call(ctx, http.MethodGet, path, nil, answer)
}

// Post sends message to path and decodes the answer.
func (c *Client) Post(ctx context.Context, path string, message, answer any) error {
	body, err := json.Marshal(message)
	if err != nil {
		return eris.Wrap(err, "encode message")
	}
	return c.call(ctx, http.MethodPost, path, body, answer)
}

// call tries one server after the other.
func (c *Client) call(ctx context.Context, method, path string, body []byte, answer any) error {
	var last error
	for _, server := range c.servers {
		err := c.callServer(ctx, method, server+path, body, answer)
		if err == nil || !tryNext(err) {
			return err
		}
		if last == nil || !onlyUnreachable(err) {
			last = err
		}
	}
	if last == nil {
		last = eris.New("no server named")
	}
	return last
}

// onlyUnreachable reports whether a call certainly did nothing at a server.
func onlyUnreachable(err error) bool {
	var u *UnreachableError
	return errors.As(err, &u) && !u.Sent
}

// tryNext reports whether another server may do better.
func tryNext(err error) bool {
	return errors.Is(err, ErrUnreachable) || fault.Is(err, fault.StoreUnavailable) ||
		fault.Is(err, fault.NotReady) || fault.Is(err, fault.Internal)
}

func (c *Client) callServer(ctx context.Context, method, target string, body []byte, answer any) error {
	req, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		return fault.Wrap(fault.BadRequest, err, "bad server").WithField("--server")
	}
	req.Header.Set("Authorization", "Bearer "+c.key)
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.http.Do(req)
	if err != nil {
		return &UnreachableError{Sent: method != http.MethodGet && !isDial(err), cause: eris.Wrapf(err, "call %s", target)}
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, 2*operatorapi.MaxBundleBytes))
	if err != nil {
		return &UnreachableError{Sent: method != http.MethodGet, cause: eris.Wrapf(err, "answer of %s", target)}
	}
	if resp.StatusCode >= http.StatusBadRequest {
		return refusal(resp.StatusCode, data)
	}
	if err := json.Unmarshal(data, answer); err != nil {
		return fault.Wrap(fault.Internal, err, "decode answer of %s", target)
	}
	return nil
}

// UnreachableError is a call without an answer.
type UnreachableError struct {
	// Sent tells that the call may have changed something.
	Sent  bool
	cause error
}

// Error returns the cause's text.
func (e *UnreachableError) Error() string { return e.cause.Error() }

// Unwrap returns ErrUnreachable and the cause.
func (e *UnreachableError) Unwrap() []error { return []error{ErrUnreachable, e.cause} }

// isDial reports whether no connection was made.
func isDial(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

func refusal(status int, data []byte) error {
	var r operatorapi.Refusal
	if err := json.Unmarshal(data, &r); err != nil || r.Error.Kind == "" {
		return fault.New(fault.Internal, "status %d without a refusal", status)
	}
	return &RefusedError{Refusal: r}
}

// Path fills a name into a path that holds one name in braces.
func Path(path, name string) string {
	start := strings.IndexByte(path, '{')
	end := strings.IndexByte(path, '}')
	return path[:start] + url.PathEscape(name) + path[end+1:]
}
