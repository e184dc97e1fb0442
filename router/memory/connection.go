package memory

const (
	// connectionBytes is the memory of an open connection: buffers of net/http, and the
	// stack of its goroutine.
	connectionBytes = 8 << 10
	// callBytes is the memory of a call in progress besides its connection: stacks,
	// buffers of the connection to the runner, and the part of the answer that may always
	// be held. 1,500 calls in progress took 35 KB each with their connections.
	callBytes = 28 << 10
)

// Connection is the memory that one connection of a caller and its request hold. A nil
// Connection is unbounded.
type Connection struct {
	// connection lasts as long as the connection, request as long as the request.
	connection, request *Reservation
}

// NewConnection returns the memory of a new connection, which holds nothing yet.
func NewConnection(a *Account) *Connection {
	return &Connection{connection: a.Begin(), request: a.Begin()}
}

// GrowConnection takes the memory of the connection itself. Like GrowHeader it has nothing
// reclaimed, since it is called under locks of the server.
func (c *Connection) GrowConnection() bool { return c.connection.Grow(Connections, connectionBytes) }

// GrowHeader takes n bytes for the header of a request.
func (c *Connection) GrowHeader(n int64) bool { return c.request.Grow(Headers, n) }

// GrowCall takes the memory of a call in progress.
func (c *Connection) GrowCall() bool {
	return c == nil || c.request.GrowOrReclaim(Calls, callBytes)
}

// Request returns the memory of the current request, or nil if it is unbounded.
func (c *Connection) Request() *Reservation {
	if c == nil {
		return nil
	}
	return c.request
}

// EndRequest returns the memory of the current request.
func (c *Connection) EndRequest() { c.request.Release() }

// Release returns all memory.
func (c *Connection) Release() {
	c.request.Release()
	c.connection.Release()
}

// Held returns how many bytes the connection and its request hold.
func (c *Connection) Held() int64 { return c.connection.Held() + c.request.Held() }
