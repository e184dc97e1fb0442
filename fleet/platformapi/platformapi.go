// Package platformapi holds the messages that the platform's services speak:
// the key-value service, the list of instances and the weight store. All are
// JSON over HTTP; each request is a POST but for the instance list and the
// weight store.
package platformapi

// Paths of the platform's services.
const (
	PathGet       = "/v1/kv/get"
	PathList      = "/v1/kv/list"
	PathPut       = "/v1/kv/put"
	PathDelete    = "/v1/kv/delete"
	PathWatch     = "/v1/kv/watch"
	PathGrant     = "/v1/lease/grant"
	PathKeepAlive = "/v1/lease/keepalive"
	PathRevoke    = "/v1/lease/revoke"
	PathInstances = "/v1/instances"
	PathWeights   = "/v1/weights/"
)

// MaxValueBytes is the largest value that the key-value service takes.
const MaxValueBytes = 1 << 20

// Entry is a key with its value.
type Entry struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
	// Revision is that of the last write to the key; it grows over the
	// whole service and is never zero.
	Revision uint64 `json:"revision"`
	// Lease is zero for a key without one.
	Lease uint64 `json:"lease,omitempty"`
}

// GetRequest asks for one key.
type GetRequest struct {
	Key string `json:"key"`
}

// GetResponse has no entry when the key does not exist.
type GetResponse struct {
	Entry    *Entry `json:"entry,omitempty"`
	Revision uint64 `json:"revision"`
}

// ListRequest asks for all keys with a prefix.
type ListRequest struct {
	Prefix string `json:"prefix"`
}

// ListResponse has the entries in the order of their keys, as of Revision.
type ListResponse struct {
	Entries  []Entry `json:"entries"`
	Revision uint64  `json:"revision"`
}

// PutRequest writes a key.
type PutRequest struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
	// IfRevision is the revision that the key must have; zero means that it
	// must not exist. Nil writes in any case.
	IfRevision *uint64 `json:"ifRevision,omitempty"`
	// Lease binds the key to a lease; zero to none.
	Lease uint64 `json:"lease,omitempty"`
}

// DeleteRequest removes a key.
type DeleteRequest struct {
	Key        string  `json:"key"`
	IfRevision *uint64 `json:"ifRevision,omitempty"`
}

// WriteResponse answers PutRequest and DeleteRequest. A failed comparison has
// status 409 and the entry that stands there, if any.
type WriteResponse struct {
	Revision uint64 `json:"revision"`
	Current  *Entry `json:"current,omitempty"`
}

// WatchRequest waits for changes under a prefix after a revision. It counts as
// one call.
type WatchRequest struct {
	Prefix string `json:"prefix"`
	After  uint64 `json:"after"`
	// WaitMillis bounds the wait; the response is then empty.
	WaitMillis int64 `json:"waitMillis"`
}

// WatchResponse has the changes in the order of their revisions. Lost tells
// that changes before them are gone, so that the caller lists again.
type WatchResponse struct {
	Events   []Event `json:"events"`
	Revision uint64  `json:"revision"`
	Lost     bool    `json:"lost,omitempty"`
}

// Event is one change.
type Event struct {
	Entry   Entry `json:"entry"`
	Deleted bool  `json:"deleted,omitempty"`
}

// GrantRequest asks for a lease.
type GrantRequest struct {
	TTLMillis int64 `json:"ttlMillis"`
}

// LeaseRequest names a lease to keep alive or to revoke.
type LeaseRequest struct {
	Lease uint64 `json:"lease"`
}

// LeaseResponse has status 404 when the lease has ended.
type LeaseResponse struct {
	Lease     uint64 `json:"lease"`
	TTLMillis int64  `json:"ttlMillis"`
}

// InstanceState is a state of an instance in the platform's list.
type InstanceState string

// The states of the platform's list.
const (
	Live    InstanceState = "live"
	Leaving InstanceState = "leaving"
)

// Instance is a row of the platform's list, which lags.
type Instance struct {
	ID      string        `json:"id"`
	Address string        `json:"address"`
	Zone    string        `json:"zone"`
	State   InstanceState `json:"state"`
}

// InstancesResponse is the platform's list.
type InstancesResponse struct {
	Instances []Instance `json:"instances"`
}

// Weights describes what the weight store holds for a model. A store whose
// rate is used up answers with status 429 and the header Retry-After.
type Weights struct {
	Model  string `json:"model"`
	Digest string `json:"digest"`
	Bytes  int64  `json:"bytes"`
}
