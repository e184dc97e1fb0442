// Package platform provides clients of the platform's services: the key-value
// store, the list of instances, which lags, and the rate-limited weight store.
package platform

import (
	"context"
	"errors"
	"net/http"
	"time"

	"cicadawell.dev/fleet/fault"
	"cicadawell.dev/fleet/platformapi"
)

// Store is the platform's key-value store. Every call is limited by its context
// and by the timeout of the client. Errors have the kinds Conflict, NotFound,
// BadRequest, TooLarge and StoreUnavailable. A write that may have taken effect
// although no response arrived fails as StoreUnavailable with the outcome
// Unknown. The outcome NotRun means that it cannot have taken effect.
type Store interface {
	// Get returns the entry of a key, or nil if there is none, and the
	// revision of the store that it was read at.
	Get(ctx context.Context, key string) (entry *platformapi.Entry, revision uint64, err error)
	// List returns the entries under a prefix, ordered by key, and the
	// revision of the store that they were read at.
	List(ctx context.Context, prefix string) (entries []platformapi.Entry, revision uint64, err error)
	// Put writes a key and returns its new revision.
	Put(ctx context.Context, put platformapi.PutRequest) (revision uint64, err error)
	// Delete removes a key and returns the revision of the removal.
	Delete(ctx context.Context, del platformapi.DeleteRequest) (revision uint64, err error)
	// Watch waits for changes, for at most the WaitMillis of the request.
	Watch(ctx context.Context, watch platformapi.WatchRequest) (platformapi.WatchResponse, error)
	// Grant returns a new lease.
	Grant(ctx context.Context, ttl time.Duration) (lease uint64, err error)
	// KeepAlive renews a lease for its full TTL. For a lease that has ended
	// it fails with the kind NotFound.
	KeepAlive(ctx context.Context, lease uint64) error
	// Revoke ends a lease and removes its keys.
	Revoke(ctx context.Context, lease uint64) error
}

// NewStore returns a client of the key-value store at address, an IP
// address with a port.
func NewStore(address string, opts ...Option) Store {
	return &store{client: newClient(address, opts)}
}

type store struct{ client *client }

// ConflictError is the cause of an error of kind Conflict.
type ConflictError struct {
	// Current is the current entry of the key, or nil if the key does not
	// exist.
	Current *platformapi.Entry
	// Revision is the revision of the store at the time of the comparison.
	Revision uint64
}

// Error implements error.
func (e *ConflictError) Error() string { return "the key has another revision" }

// ConflictingEntry returns the entry that made a write fail with the kind Conflict;
// conflict is false for every other error.
func ConflictingEntry(err error) (entry *platformapi.Entry, conflict bool) {
	var c *ConflictError
	if !errors.As(err, &c) {
		return nil, false
	}
	return c.Current, true
}

func (s *store) Get(ctx context.Context, key string) (*platformapi.Entry, uint64, error) {
	var res platformapi.GetResponse
	err := s.client.post(ctx, callGet, platformapi.PathGet, platformapi.GetRequest{Key: key}, &res)
	return res.Entry, res.Revision, err
}

func (s *store) List(ctx context.Context, prefix string) ([]platformapi.Entry, uint64, error) {
	var res platformapi.ListResponse
	err := s.client.post(ctx, callList, platformapi.PathList, platformapi.ListRequest{Prefix: prefix}, &res)
	return res.Entries, res.Revision, err
}

func (s *store) Put(ctx context.Context, put platformapi.PutRequest) (uint64, error) {
	if len(put.Value) > platformapi.MaxValueBytes {
		return 0, fault.New(fault.TooLarge, "found %d bytes, allowed are %d",
			len(put.Value), platformapi.MaxValueBytes).WithField(put.Key)
	}
	return s.write(ctx, callPut, platformapi.PathPut, put, put.Key)
}

func (s *store) Delete(ctx context.Context, del platformapi.DeleteRequest) (uint64, error) {
	return s.write(ctx, callDelete, platformapi.PathDelete, del, del.Key)
}

func (s *store) write(ctx context.Context, k callKind, path string, req any, key string) (uint64, error) {
	var res platformapi.WriteResponse
	err := s.client.post(ctx, k, path, req, &res)
	if fault.Is(err, fault.Conflict) {
		cause := &ConflictError{Current: res.Current, Revision: res.Revision}
		return 0, fault.Wrap(fault.Conflict, cause, "%s", k).WithField(key)
	}
	return res.Revision, err
}

func (s *store) Watch(
	ctx context.Context, watch platformapi.WatchRequest,
) (platformapi.WatchResponse, error) {
	var res platformapi.WatchResponse
	wait := time.Duration(watch.WaitMillis) * time.Millisecond
	ctx, cancel := context.WithTimeout(ctx, wait+s.client.timeout)
	defer cancel()
	err := s.client.send(ctx, callWatch, http.MethodPost, platformapi.PathWatch, watch, &res)
	return res, err
}

func (s *store) Grant(ctx context.Context, ttl time.Duration) (uint64, error) {
	var res platformapi.LeaseResponse
	req := platformapi.GrantRequest{TTLMillis: ttl.Milliseconds()}
	err := s.client.post(ctx, callGrant, platformapi.PathGrant, req, &res)
	return res.Lease, err
}

func (s *store) KeepAlive(ctx context.Context, lease uint64) error {
	var res platformapi.LeaseResponse
	return s.client.post(ctx, callKeepAlive, platformapi.PathKeepAlive, platformapi.LeaseRequest{Lease: lease}, &res)
}

func (s *store) Revoke(ctx context.Context, lease uint64) error {
	var res platformapi.LeaseResponse
	return s.client.post(ctx, callRevoke, platformapi.PathRevoke, platformapi.LeaseRequest{Lease: lease}, &res)
}
