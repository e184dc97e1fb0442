// Package platformapi defines the messages of the platform's services: the
// key-value store, the instance list and the weight store. All use JSON over HTTP.
// Requests to the key-value store use POST.
package platformapi

// Paths of the platform's services. PathWeights is followed by the model's name.
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

// MaxValueBytes is the size limit of a value in the key-value store.
const MaxValueBytes = 1 << 20

// Entry is a key and its value in the key-value store.
type Entry struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
	// Revision is the store revision of the last write to the key. It
	// increases with every write to any key and is never zero.
	Revision uint64 `json:"revision"`
	// Lease is the ID of the lease to which the key is bound; zero means
	// none.
	Lease uint64 `json:"lease,omitempty"`
}

// GetRequest reads one key.
type GetRequest struct {
	Key string `json:"key"`
}

// GetResponse answers GetRequest. Entry is nil if the key does not exist.
type GetResponse struct {
	Entry    *Entry `json:"entry,omitempty"`
	Revision uint64 `json:"revision"`
}

// ListRequest reads all keys with a prefix.
type ListRequest struct {
	Prefix string `json:"prefix"`
}

// ListResponse answers ListRequest with the entries as of Revision, sorted by key.
type ListResponse struct {
	Entries  []Entry `json:"entries"`
	Revision uint64  `json:"revision"`
}

// PutRequest writes a key.
type PutRequest struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
	// IfRevision is the revision that the key must have; zero means that the
	// key must not exist. Nil means that the write is unconditional.
	IfRevision *uint64 `json:"ifRevision,omitempty"`
	// Lease is the ID of the lease to bind the key to; zero means none.
	Lease uint64 `json:"lease,omitempty"`
}

// DeleteRequest removes a key.
type DeleteRequest struct {
	Key string `json:"key"`
	// IfRevision is as in PutRequest.
	IfRevision *uint64 `json:"ifRevision,omitempty"`
}

// WriteResponse answers PutRequest and DeleteRequest. If the comparison with
// IfRevision failed, the status is 409 and Current is the current entry, if any.
type WriteResponse struct {
	Revision uint64 `json:"revision"`
	Current  *Entry `json:"current,omitempty"`
}

// WatchRequest waits for changes of keys with a prefix after a revision. It counts
// as one call.
type WatchRequest struct {
	Prefix string `json:"prefix"`
	After  uint64 `json:"after"`
	// WaitMillis is the longest wait in milliseconds. If there is no change
	// until then, the response has no events.
	WaitMillis int64 `json:"waitMillis"`
}

// WatchResponse answers WatchRequest with the changes in the order of their
// revisions. HistoryLost is true if the store no longer has all changes since the
// requested revision, so that the client must list the keys again.
type WatchResponse struct {
	Events      []Event `json:"events"`
	Revision    uint64  `json:"revision"`
	HistoryLost bool    `json:"lost,omitempty"`
}

// Event is the change of one key.
type Event struct {
	Entry   Entry `json:"entry"`
	Deleted bool  `json:"deleted,omitempty"`
}

// GrantRequest requests a new lease.
type GrantRequest struct {
	TTLMillis int64 `json:"ttlMillis"`
}

// LeaseRequest names a lease to keep alive or to revoke.
type LeaseRequest struct {
	Lease uint64 `json:"lease"`
}

// LeaseResponse answers requests for leases. The status is 404 if the lease has
// expired or was revoked.
type LeaseResponse struct {
	Lease     uint64 `json:"lease"`
	TTLMillis int64  `json:"ttlMillis"`
}

// InstanceState is the state of an instance in the instance list.
type InstanceState string

// The states of an instance in the instance list.
const (
	Live    InstanceState = "live"
	Leaving InstanceState = "leaving"
)

// Instance is a row of the instance list, which may lag behind the actual state.
type Instance struct {
	ID      string        `json:"id"`
	Address string        `json:"address"`
	Zone    string        `json:"zone"`
	State   InstanceState `json:"state"`
}

// InstancesResponse is the instance list.
type InstancesResponse struct {
	Instances []Instance `json:"instances"`
}

// Weights describes the weights of a model in the weight store. When its rate limit
// is exceeded, the weight store responds with status 429 and the header Retry-After.
type Weights struct {
	Model  string `json:"model"`
	Digest string `json:"digest"`
	Bytes  int64  `json:"bytes"`
}
