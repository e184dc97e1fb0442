package routing

import "time"

// Service is a group of runners that do the same work.
type Service struct {
	Name       string
	HealthPath string
	// MaxConnections bounds the connections to one runner, of all instances
	// together.
	MaxConnections int
	// ColdFor is how long a runner stays cold after a start.
	ColdFor time.Duration
	// ColdPerSecond is what a cold runner bears, from all instances together.
	ColdPerSecond float64
	// Batches is nil for services that make no pieces of stages.
	Batches *Batches
	// Engine is nil for services other than model engines.
	Engine *Engine
}

// Batches describes a runner that makes pieces of stages.
type Batches struct {
	// Slots is how many calls a runner works on at a time, Queue how many more
	// it takes.
	Slots, Queue int
	// MaxPieces bounds one call.
	MaxPieces int
	// CallTime is spent on each call, and PieceTime, roughly, on each piece.
	CallTime, PieceTime time.Duration
	// ResultRoom is a runner's room for results in bytes.
	ResultRoom int64
	// KeepFor is how long a result is kept after the end of its call.
	KeepFor time.Duration
}

// Engine describes a runner of models.
type Engine struct {
	// Slots is how many requests run at a time.
	Slots int
	// MemoryTokens is the room for running requests and kept prompt parts.
	MemoryTokens int64
}

// Team is a customer with its keys.
type Team struct {
	Name string
	// Priority overrides that of the route if HasPriority is set.
	Priority    int
	HasPriority bool
	Keys        []string
}

// Limits bound what callers may send.
type Limits struct {
	HeaderBytes int
	BodyBytes   int64
	// HeaderTimeout bounds the time in which the header arrives, IdleTimeout
	// that between two calls on a connection.
	HeaderTimeout, IdleTimeout time.Duration
}
