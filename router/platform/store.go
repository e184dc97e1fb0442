// Package platform is the client of the platform's services: the key-value
// store, the lagging list of instances and the rate-limited weight store.
package platform

import (
	"context"
	"errors"
	"net/http"
	"time"

	"cicadawell.dev/fleet/fault"
	"cicadawell.dev/fleet/platformapi"
)

// Store is the platform's key-value service. Every call is bounded by its
// context and by the timeout of the store. Errors have the kinds Conflict,
// NotFound, BadRequest, TooLarge and StoreUnavailable. A write that may have
// taken effect without an answer fails as StoreUnavailable with the outcome
// Unknown; one that cannot have has the outcome NotRun.
type Store interface {
	// Get returns the entry of a key, nil when there is none, and the
	// revision as of which this holds.
	Get(ctx context.Context, key string) (entry *platformapi.Entry, revision uint64, err error)
	// List returns the entries under a prefix in the order of their keys,
	// and the revision as of which this holds.
	List(ctx context.Context, prefix string) (entries []platformapi.Entry, revision uint64, err error)
	// Put writes a key and returns its new revision.
	Put(ctx context.Context, put platformapi.PutRequest) (revision uint64, err error)
	// Delete removes a key and returns the revision of the removal.
	Delete(ctx context.Context, del platformapi.DeleteRequest) (revision uint64, err error)
	// Watch waits for changes, at most as long as the request says.
	Watch(ctx context.Context, watch platformapi.WatchRequest) (platformapi.WatchResponse, error)
	// Grant returns a new lease.
	Grant(ctx context.Context, ttl time.Duration) (lease uint64, err error)
	// KeepAlive renews a lease for its whole time. A lease that has ended
	// fails with the kind NotFound.
	KeepAlive(ctx context.Context, lease uint64) error
	// Revoke ends a lease and removes its keys.
	Revoke(ctx context.Context, lease uint64) error
}

// NewStore returns the client of the key-value service at address, an IP
// address with a port.
func NewStore(address string, opts ...Option) Store {
	return &store{client: newClient(address, opts)}
}

type store struct{ client *client }

// ConflictError is the cause of an error of kind Conflict.
type ConflictError struct {
	// Current is the entry that stands there; nil when the key does not
	// exist.
	Current *platformapi.Entry
	// Revision is that of the service at the comparison.
	Revision uint64
}

// Error says that the comparison failed.
func (e *ConflictError) Error() string { return "the key has another revision" }

// Current returns the entry that made a write fail with the kind Conflict;
// conflict is false for every other error.
func Current(err error) (entry *platformapi.Entry, conflict bool) {
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

func (s *store) write(ctx context.Context, c call, path string, req any, key string) (uint64, error) {
	var res platformapi.WriteResponse
	err := s.client.post(ctx, c, path, req, &res)
	if fault.Is(err, fault.Conflict) {
		cause := &ConflictError{Current: res.Current, Revision: res.Revision}
		return 0, fault.Wrap(fault.Conflict, cause, "%s", c).WithField(key)
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
