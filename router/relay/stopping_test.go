package relay_test

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"cicadawell.dev/fleet/clock"
	"cicadawell.dev/router/inventory"
	"cicadawell.dev/router/relay"
	"github.com/matryer/is"
)

// TestCallsThatMayNotEndBeforeTheStopAreRefused guards against calls that are passed on
// and cut by the stop of their instance. Routes have an objective of 300 ms and a timeout
// of 2 s.
func TestCallsThatMayNotEndBeforeTheStopAreRefused(t *testing.T) {
	for _, c := range []struct {
		name, path string
		// earlier is how long a call took before, or zero.
		earlier, left, timeout time.Duration
		sent                   bool
	}{
		{"time enough by the objective", "/once/1", time.Millisecond, 1300 * time.Millisecond, 0, true},
		{"too late by the objective", "/once/1", time.Millisecond, 1100 * time.Millisecond, 0, false},
		{"time enough by the calls before", "/once/1", 800 * time.Millisecond, 1700 * time.Millisecond, 0, true},
		{"too late by the calls before", "/once/1", 800 * time.Millisecond, 1500 * time.Millisecond, 0, false},
		{"too late for a call that may be repeated", "/safe/1", time.Millisecond, 1100 * time.Millisecond, 0, false},
		{"too late for a stream", "/resumable/1", time.Millisecond, 1100 * time.Millisecond, 0, false},
		{"unknown duration", "/once/1", 0, 1900 * time.Millisecond, 0, false},
		{"unknown duration of the stages", "/staged/1", 0, 1900 * time.Millisecond, 0, false},
		{"deadline of the caller before the stop", "/once/1", 0, 1100 * time.Millisecond, time.Second, true},
		{"deadline of the route before the stop", "/resumable/1", 0, 2100 * time.Millisecond, 0, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f, p := &fakeRunners{responses: []response{streamOf(one, false)}, earlier: c.earlier}, &fakePieces{}
				w := serveCall(t, c.path, f, p, func(call *relay.Call, _ *inventory.Current) {
					call.StopsAt, call.Timeout = clock.System().Now().Add(c.left), c.timeout
				})
				is.Equal(len(f.sent) > 0, c.sent)
				if !c.sent {
					is.Equal(w.Code, http.StatusServiceUnavailable)
					is.Equal(w.Header().Get("Retry-After"), "0.001")
					is.Equal(len(p.made), 0)
				}
			})
		})
	}
}
