// Package order reconciles the models that the model engines have loaded with
// those that the bundle in force wants. Orders are declarative: each states the
// desired set of models. At most one instance at a time may send orders to a
// runner: it holds a lock on the runner, which is a key in the store under a
// lease. The revision at which the key was created is the fencing token of its
// orders.
//
// Session, Plan and Pace make decisions without I/O. The driver that New
// returns does the I/O between them.
package order

import (
	"context"
	"time"

	"cicadawell.dev/fleet/bundle"
	"cicadawell.dev/fleet/platformapi"
	"cicadawell.dev/fleet/runnerapi"
)

// KeyPrefix precedes the runner's identifier in the keys of this package.
const KeyPrefix = "orders/"

// Store is the part of the platform's store that the driver uses. Errors have
// the kinds of fault; a write without an answer has the outcome fault.Unknown.
type Store interface {
	Get(ctx context.Context, key string) (*platformapi.Entry, uint64, error)
	Put(ctx context.Context, put platformapi.PutRequest) (uint64, error)
	Delete(ctx context.Context, del platformapi.DeleteRequest) (uint64, error)
	Grant(ctx context.Context, ttl time.Duration) (uint64, error)
	KeepAlive(ctx context.Context, lease uint64) error
	Revoke(ctx context.Context, lease uint64) error
}

// Engines reads the state of runners and sends them orders.
type Engines interface {
	// State reads from the runner what it has loaded.
	State(ctx context.Context, of bundle.Runner) (runnerapi.State, error)
	// SendOrder sends an order over a connection opened by this call, calls
	// guard directly before the write, and returns guard's error without a
	// write when guard fails. A runner that has seen a higher fencing token
	// rejects the order with the kind Conflict. When SendOrder returns
	// without an answer, it has reset the connection.
	SendOrder(ctx context.Context, to bundle.Runner, o runnerapi.Order, guard func() error) (runnerapi.State, error)
}

// Fleet is an immutable snapshot of the runners and instances, the input of
// one pass.
type Fleet struct {
	Runners []bundle.Runner
	// Out holds the identifiers of the runners that receive no new work.
	Out map[string]bool
	// Instances are the members of the agreed view. An instance whose Self
	// is not among them sends no orders.
	Instances []string
	Self      string
}

// Limits are the time bounds that the safety of orders rests on.
type Limits struct {
	// LeaseTTL is how long a lease lasts without a renewal.
	LeaseTTL time.Duration
	// Delivery is the maximum time from the write of an order until it takes
	// effect at a runner that does not check fencing tokens.
	Delivery time.Duration
	// DriftPerMille bounds how much faster or slower than the store's clock
	// an instance's clock runs.
	DriftPerMille int64
}

// DefaultLimits returns the limits that a router uses.
func DefaultLimits() Limits {
	return Limits{LeaseTTL: 30 * time.Second, Delivery: 2 * time.Second, DriftPerMille: 10}
}

// drift returns the maximum error of d when measured by an instance's clock.
func (l Limits) drift(d time.Duration) time.Duration {
	return d * time.Duration(l.DriftPerMille) / 1000
}

// lockDelay returns how long a new lock holder waits before its first order, so
// that the previous holder's orders can no longer take effect by then.
func (l Limits) lockDelay() time.Duration { return l.Delivery + l.drift(l.Delivery) }

// holder is the value of a runner's key: the instance that holds the lock.
type holder struct {
	Instance string `json:"instance"`
}

func keyOf(runner string) string { return KeyPrefix + runner }
