package drain

import (
	"bytes"
	"cmp"
	"slices"
	"time"

	"cicadawell.dev/fleet/clock"
)

// Memory is what a connection holds of the memory of its process. Its methods may be
// called concurrently, also under locks of the server, so that they must not call it.
type Memory interface {
	// GrowConnection takes the memory of the connection itself, GrowHeader n more bytes
	// for the header of a request. They return false if there is none.
	GrowConnection() bool
	GrowHeader(n int64) bool
	// EndRequest returns the memory of the header.
	EndRequest()
	// Release returns all.
	Release()
	// Held returns how many bytes the connection and its request hold.
	Held() int64
}

// WithMemory has each connection take its memory from what begin returns.
func WithMemory(begin func() Memory) Option { return func(o *options) { o.beginMemory = begin } }

// WithMaxConnections bounds the number of open connections; zero means no bound. At the
// bound, connections that wait for a request are closed for new ones, and if there are
// none the new ones.
func WithMaxConnections(n int) Option { return func(o *options) { o.maxConnections = n } }

const (
	// evictionNumerator/evictionDenominator is the part of the maximum of connections
	// above which one is closed for each new one. The rest is for those that are about to
	// close.
	evictionNumerator, evictionDenominator = 4, 5
	// slowHeaderTime is how long the header of a request may be incomplete before the
	// connection may be closed for a new one.
	slowHeaderTime = time.Second
	// slowCallerTime is how long a caller may read or send less than writeChunkBytes before it
	// may be closed if memory is short. A link of 1 Mbit/s carries seven times as much.
	slowCallerTime = time.Second
	// closingPause is the least time between two searches for slow callers. Their memory
	// becomes free only after they are closed.
	closingPause = 100 * time.Millisecond
	// freeHeaderBytes is the size of a header that a connection may read without
	// reserving memory. It is the size of net/http's buffer, and fits usual headers.
	freeHeaderBytes = 4 << 10
	// freeHeaderFields is the number of fields that a connection may read without reserving
	// memory, and fieldBytes the memory of each further one: entries of two maps, with
	// their lists of values.
	freeHeaderFields = 64
	fieldBytes       = 256
)

// closedForLimits is the side that ended a connection because memory or connections were
// short.
const closedForLimits = "limits"

// admit adds a connection, for which it may close one that waits. It reports whether the
// connection may be served.
func (s *connections) admit(c *Connection) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	full := s.maxConnections > 0 && len(s.open) >= s.maxConnections
	crowded := s.maxConnections > 0 && len(s.open)-s.evicting >= s.maxConnections*evictionNumerator/evictionDenominator
	short := c.memory != nil && !c.memory.GrowConnection()
	if full || crowded || short {
		s.evictOldest()
	}
	if full || short {
		s.refused.Add(1)
		s.log.Warn("connection refused", "open", len(s.open), "tooMany", full, "memoryShort", short)
		return false
	}
	s.open[c] = struct{}{}
	return true
}

// evictOldest closes the connection that has waited longest for a request, or else the one
// whose header has been incomplete for longest. The caller holds mu.
func (s *connections) evictOldest() {
	var oldest *Connection
	var since time.Time
	oldestWaits := false
	slow := clock.System().Now().Add(-slowHeaderTime)
	for c := range s.open {
		waits, begun, ok := c.evictable(slow)
		if ok && (oldest == nil || (waits && !oldestWaits) || (waits == oldestWaits && begun.Before(since))) {
			oldest, since, oldestWaits = c, begun, waits
		}
	}
	if oldest != nil && oldest.evict(slow) {
		s.evicting++
		s.evicted.Add(1)
		s.log.Info("connection closed for a new one", "open", len(s.open), "incompleteHeader", !oldestWaits)
	}
}

// evictable reports whether the connection may be closed for another one: it waits for a
// request, or has sent a part of a header only since before the time slow.
func (c *Connection) evictable(slow time.Time) (waits bool, since time.Time, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	waits = c.read == 0
	return waits, c.since, !c.evicted && !c.headerRead && (waits || c.since.Before(slow))
}

// evict closes the connection if it still may be. A request whose first byte arrives at the
// same time is served.
func (c *Connection) evict(slow time.Time) bool {
	waits, _, ok := c.evictable(slow)
	if !ok {
		return false
	}
	c.mu.Lock()
	c.evicted = true
	if waits && c.read == 0 {
		c.interrupted = true
		_ = c.Conn.SetReadDeadline(pastDeadline)
	}
	c.mu.Unlock()
	if !waits {
		c.abort()
	}
	return true
}

// growHeader takes the memory of a further part of a header. The caller holds mu.
func (c *Connection) growHeader(part []byte) bool {
	if c.memory == nil || c.headerRead {
		return true
	}
	more := max(0, min(len(part), c.read-freeHeaderBytes))
	lines := c.header.scan(part)
	more += fieldBytes * max(0, min(lines, c.header.lines-freeHeaderFields))
	return more == 0 || c.memory.GrowHeader(int64(more))
}

// headerLines counts the lines of a header that is read in parts.
type headerLines struct {
	lines int
	// begun is set once the current line has a byte, ended once the header has its last
	// line, which is empty. What follows isn't counted.
	begun, ended bool
}

// scan counts the lines that end in a further part, and returns their number.
func (h *headerLines) scan(part []byte) int {
	n := 0
	for !h.ended {
		end := bytes.IndexByte(part, '\n')
		line := part
		if end >= 0 {
			line = part[:end]
		}
		h.begun = h.begun || len(bytes.TrimSuffix(line, []byte("\r"))) > 0
		if end < 0 {
			break
		}
		// The first line may have begun in what came with the request before.
		h.ended = !h.begun && h.lines > 0
		if h.begun {
			n++
			h.lines++
		}
		h.begun = false
		part = part[end+1:]
	}
	return n
}

// CloseSlowCallers ends requests whose callers read their answers or send their bodies slowly
// until at least so many bytes are about to become free, those first that hold the most for
// each byte that they read or send a second. Bodies are refused as too slow, answers are cut
// with their connection. It returns the number of requests, which is 0 if it was called
// shortly before.
func (s *Server) CloseSlowCallers(bytes int64) int {
	return s.conns.closeSlowCallers(bytes)
}

// slowCaller is a connection whose caller reads or sends slowly.
type slowCaller struct {
	conn *Connection
	held int64
	// cost is what the connection holds for each byte a second.
	cost    float64
	sending bool
}

func (s *connections) closeSlowCallers(bytes int64) int {
	now := clock.System().Now()
	last := s.lastClosing.Load()
	if now.UnixNano()-last < int64(closingPause) || !s.lastClosing.CompareAndSwap(last, now.UnixNano()) {
		return 0
	}
	var slow []slowCaller
	s.mu.Lock()
	for c := range s.open {
		if r, ok := c.slowCaller(now); ok {
			slow = append(slow, r)
		}
	}
	s.mu.Unlock()
	slices.SortFunc(slow, func(a, b slowCaller) int { return cmp.Compare(b.cost, a.cost) })
	closed := 0
	for _, r := range slow {
		if bytes <= 0 {
			break
		}
		if r.sending {
			r.conn.interruptRead()
		} else {
			r.conn.abort()
		}
		bytes -= r.held
		closed++
	}
	if closed > 0 {
		s.slowClosed.Add(int64(closed))
		s.log.Warn("slow callers closed, memory is short", "connections", closed)
	}
	return closed
}

// slowCaller describes the connection if its caller reads or sends slowly.
func (c *Connection) slowCaller(now time.Time) (slowCaller, bool) {
	if c.memory == nil {
		return slowCaller{}, false
	}
	begun := c.writeBegun.Load()
	reads := begun != 0 && now.UnixNano()-begun >= int64(slowCallerTime)
	c.mu.Lock()
	defer c.mu.Unlock()
	took := now.Sub(c.since)
	moved := c.written
	sends := c.handled && !c.requestRead && took >= slowCallerTime && int64(c.read) < writeChunkBytes*int64(took/slowCallerTime)
	if sends {
		moved = c.read
	}
	held := c.memory.Held()
	return slowCaller{conn: c, held: held, cost: float64(held) * took.Seconds() / float64(moved+1), sending: sends}, held > 0 && (reads || sends) && !c.aborted
}

// abort resets the connection, so that its answer can't be taken for complete.
func (c *Connection) abort() {
	c.mu.Lock()
	c.failedBy, c.aborted = closedForLimits, true
	c.mu.Unlock()
	if tcp, ok := c.Conn.(interface{ SetLinger(sec int) error }); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}
