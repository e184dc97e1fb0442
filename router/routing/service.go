package routing

import "time"

// Service is a group of runners that do the same work.
type Service struct {
	Name       string
	HealthPath string
	// MaxConnections bounds the connections from all instances together to one
	// runner.
	MaxConnections int
	// ColdFor is the duration of a cold start.
	ColdFor time.Duration
	// ColdPerSecond is the maximum rate of calls from all instances together to
	// a cold runner.
	ColdPerSecond float64
	// Batches is nil for services that don't run stages.
	Batches *Batches
	// Engine is nil for services other than model engines.
	Engine *Engine
}

// Batches describes the runners of a service that runs stages. A call to such a
// runner is a batch of pieces.
type Batches struct {
	// Slots is the number of calls that a runner executes concurrently, Queue
	// the number of further calls that it queues.
	Slots, Queue int
	// MaxPieces bounds the pieces of one call.
	MaxPieces int
	// CallTime is the fixed duration of each call, PieceTime the approximate
	// additional duration of each piece.
	CallTime, PieceTime time.Duration
	// ResultRoom is a runner's capacity for results in bytes.
	ResultRoom int64
	// KeepFor is how long a result is kept after the end of its call.
	KeepFor time.Duration
}

// Engine describes the runners of a service that run models.
type Engine struct {
	// Slots is the number of requests that a runner executes concurrently.
	Slots int
	// MemoryTokens is a runner's capacity in tokens for running requests and
	// cached prompt parts.
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

// Limits bound the requests of callers.
type Limits struct {
	HeaderBytes int
	BodyBytes   int64
	// HeaderTimeout bounds the time for reading a header, IdleTimeout the time
	// between two calls on a connection.
	HeaderTimeout, IdleTimeout time.Duration
}
