package relay

import (
	"sync"
	"sync/atomic"
	"time"
)

// durationWindow is the length of one of the two windows of durations.
const durationWindow = 30 * time.Second

// durations tracks how long the calls of each route have taken recently. It takes no
// lock that all calls share.
type durations struct {
	// routes maps the name of a route to its *longest.
	routes sync.Map
}

// longest is the longest duration in the current and in the previous window. Calls that
// end as a window begins may count for the one before.
type longest struct {
	// window is the number of the current window.
	window            atomic.Int64
	current, previous atomic.Int64
}

// record records that a call of a route has ended.
func (d *durations) record(route string, now time.Time, took time.Duration) {
	v, ok := d.routes.Load(route)
	if !ok {
		v, _ = d.routes.LoadOrStore(route, &longest{})
	}
	l := v.(*longest)
	l.advance(now)
	for {
		old := l.current.Load()
		if int64(took) <= old || l.current.CompareAndSwap(old, int64(took)) {
			return
		}
	}
}

// longest returns the longest duration of a route in the last one to two windows, or
// zero if none is known.
func (d *durations) longest(route string, now time.Time) time.Duration {
	v, ok := d.routes.Load(route)
	if !ok {
		return 0
	}
	l := v.(*longest)
	l.advance(now)
	return time.Duration(max(l.current.Load(), l.previous.Load()))
}

// advance begins a new window if it is time.
func (l *longest) advance(now time.Time) {
	n := now.UnixNano() / int64(durationWindow)
	old := l.window.Load()
	if n == old || !l.window.CompareAndSwap(old, n) {
		return
	}
	ended := l.current.Swap(0)
	if n != old+1 {
		ended = 0
	}
	l.previous.Store(ended)
}
