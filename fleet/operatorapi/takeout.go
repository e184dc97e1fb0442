package operatorapi

import "time"

// Takeout is the latest order to take out or return an availability zone or a
// runner.
type Takeout struct {
	// Name is the ID of the zone or the runner.
	Name string `json:"name"`
	// Out is true if the zone or runner is taken out and receives no new
	// work.
	Out bool `json:"out"`
	// Generation increases with each order for this name; zero means that
	// there was none.
	Generation uint64 `json:"generation"`
	// Order is the ID of the order; retries carry the same one.
	Order string `json:"order,omitempty"`
	// By is the operator who gave the order.
	By     string    `json:"by,omitempty"`
	At     time.Time `json:"at,omitzero"`
	Reason string    `json:"reason,omitempty"`
}

// TakeoutRequest is the request to take out or return a zone or a runner.
type TakeoutRequest struct {
	// OrderID is the ID of the order, a UUID of version 7. Retries carry the
	// same one.
	OrderID string `json:"order"`
	Reason  string `json:"reason,omitempty"`
	// ExpectedGeneration is the generation that the operator saw. Taking out
	// is always accepted, since it is the safe direction; returning is
	// rejected as a conflict if the current generation is another one.
	ExpectedGeneration uint64 `json:"seen"`
}

// TakeoutStatus is the progress of an order.
type TakeoutStatus struct {
	Takeout
	// Stored is true if the order is in the platform's store.
	Stored bool `json:"stored"`
	// Acknowledged lists the instances that have acknowledged the order.
	Acknowledged []string `json:"holding"`
	// Pending lists the instances that have not acknowledged the order.
	Pending []PendingInstance `json:"waiting,omitempty"`
	// Service is the service of the runner and Zone its zone. Both are empty
	// for an order on a zone.
	Service string `json:"service,omitempty"`
	Zone    string `json:"zone,omitempty"`
	// InFlight is the number of calls that are still in flight there, as far
	// as the instance that sent this status knows.
	InFlight int `json:"inFlight"`
}

// Complete reports whether the order is in the store and every known instance
// has acknowledged it.
func (s TakeoutStatus) Complete() bool {
	return s.Stored && len(s.Pending) == 0
}

// TakeoutList has one row for each zone or runner.
type TakeoutList struct {
	Rows []TakeoutStatus `json:"rows"`
}

// InstanceList has one row for each instance.
type InstanceList struct {
	Rows []InstanceStatus `json:"rows"`
}
