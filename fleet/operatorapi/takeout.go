package operatorapi

import "time"

// Takeout is the last order on an availability zone or a runner.
type Takeout struct {
	// Name is that of the zone or the runner.
	Name string `json:"name"`
	// Out tells that it receives no new work.
	Out bool `json:"out"`
	// Generation grows with each order on this name; zero means that there
	// was none.
	Generation uint64 `json:"generation"`
	// Order identifies the order; a repeat carries the same one.
	Order  string    `json:"order,omitempty"`
	By     string    `json:"by,omitempty"`
	At     time.Time `json:"at,omitzero"`
	Reason string    `json:"reason,omitempty"`
}

// TakeoutRequest orders a zone or a runner out or in.
type TakeoutRequest struct {
	// Order is a UUID of version 7 that repeats of the order share.
	Order  string `json:"order"`
	Reason string `json:"reason,omitempty"`
	// Seen is the generation that the operator saw. An order out is carried
	// out in any case; an order in is refused when another one stands.
	Seen uint64 `json:"seen"`
}

// TakeoutStatus tells how far an order has come.
type TakeoutStatus struct {
	Takeout
	// Stored tells that the platform's store holds the order.
	Stored bool `json:"stored"`
	// Holding are the instances that hold the order.
	Holding []string `json:"holding"`
	// Waiting are the instances that have not acknowledged it.
	Waiting []Waiting `json:"waiting,omitempty"`
	// Service is the runner's service, and Zone its zone; empty for zones.
	Service string `json:"service,omitempty"`
	Zone    string `json:"zone,omitempty"`
	// InFlight is the work that still runs there, as far as the instance
	// that answers knows.
	InFlight int `json:"inFlight"`
}

// Complete reports whether every known instance and the store hold the order.
func (s TakeoutStatus) Complete() bool {
	return s.Stored && len(s.Waiting) == 0
}

// TakeoutList is a row for each zone or runner.
type TakeoutList struct {
	Rows []TakeoutStatus `json:"rows"`
}

// InstanceList is a row for each instance.
type InstanceList struct {
	Rows []InstanceStatus `json:"rows"`
}
