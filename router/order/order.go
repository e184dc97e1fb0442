// Package order brings the model engines to the models that the bundle in
// force wants, by orders that state the wanted end. At any time one instance
// at most may order a runner: it holds the runner's key in the store under a
// lease, and the revision at which the key was created is the fencing number
// of its orders.
//
// Tenure, Plan and Pace are decisions without I/O. The driver that New returns
// does the calls between them.
package order

import (
	"context"
	"time"

	"cicadawell.dev/fleet/bundle"
	"cicadawell.dev/fleet/platformapi"
	"cicadawell.dev/fleet/runnerapi"
)

// KeyPrefix stands before the runner's identifier in the keys of this package.
const KeyPrefix = "orders/"

// Store is what the driver needs of the platform's store. Errors have the
// kinds of fault; a write without an answer has the outcome fault.Unknown.
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
	// State asks the runner what it has loaded.
	State(ctx context.Context, of bundle.Runner) (runnerapi.State, error)
	// Order sends an order over a connection opened by this call, calls
	// guard directly before the write, and returns guard's error without a
	// write when guard fails. A runner that saw a higher fencing number
	// fails it with the kind Conflict. When Order returns without an
	// answer, it has reset the connection.
	Order(ctx context.Context, to bundle.Runner, o runnerapi.Order, guard func() error) (runnerapi.State, error)
}

// Fleet is what an instance knows when it plans. It is immutable.
type Fleet struct {
	Runners []bundle.Runner
	// Out are the identifiers of the runners that receive no new work.
	Out map[string]bool
	// Instances are the members of the agreed view; Self is one of them or
	// orders nothing.
	Instances []string
	Self      string
}

// Limits are the times that orders keep to.
type Limits struct {
	// LeaseTTL is how long a lease lasts without a renewal.
	LeaseTTL time.Duration
	// Delivery is the longest time from the write of an order to its effect
	// at a runner that does not check fencing numbers.
	Delivery time.Duration
	// DriftPerMille bounds how much faster or slower than the store's clock
	// an instance's clock runs.
	DriftPerMille int64
}

// DefaultLimits returns the limits that a router uses.
func DefaultLimits() Limits {
	return Limits{LeaseTTL: 30 * time.Second, Delivery: 2 * time.Second, DriftPerMille: 10}
}

// drift returns how much d can be off by the clock.
func (l Limits) drift(d time.Duration) time.Duration {
	return d * time.Duration(l.DriftPerMille) / 1000
}

// wait returns how long a new holder waits before its first order.
func (l Limits) wait() time.Duration { return l.Delivery + l.drift(l.Delivery) }

// holder is the value of a runner's key.
type holder struct {
	Instance string `json:"instance"`
}

func keyOf(runner string) string { return KeyPrefix + runner }
