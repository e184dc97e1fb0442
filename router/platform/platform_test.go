package platform_test

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"cicadawell.dev/fleet/answer/answertest"
	"cicadawell.dev/fleet/clock"
	"cicadawell.dev/fleet/fault"
	"cicadawell.dev/fleet/platformapi"
	"cicadawell.dev/router/platform"
	"github.com/matryer/is"
)

// serve starts a server that handles each call with h, and returns its address.
func serve(t *testing.T, h http.HandlerFunc) string {
	t.Helper()
	server := httptest.NewServer(h)
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// abort closes the connection without a response.
func abort(w http.ResponseWriter, _ *http.Request) { panic(http.ErrAbortHandler) }

func respond(status int, body any) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		_ = json.NewEncoder(w).Encode(body)
	}
}

func TestConflictReturnsCurrentEntry(t *testing.T) {
	is := is.New(t)
	entry := &platformapi.Entry{Key: "k", Value: []byte("theirs"), Revision: 7}
	store := platform.NewStore(serve(t, respond(http.StatusConflict, platformapi.WriteResponse{Revision: 9, Current: entry})))
	want := uint64(3)
	_, err := store.Put(t.Context(), platformapi.PutRequest{Key: "k", IfRevision: &want})
	is.True(fault.Is(err, fault.Conflict))
	is.Equal(fault.Of(err).Outcome(), fault.NotRun)
	current, conflict := platform.ConflictingEntry(err)
	is.True(conflict)
	is.Equal(current, entry)
}

func TestOutcomeOfCallsWithoutResponse(t *testing.T) {
	closed := httptest.NewServer(http.HandlerFunc(abort))
	unusedAddress := strings.TrimPrefix(closed.URL, "http://")
	closed.Close()
	truncated := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "100")
		_, _ = w.Write([]byte(`{"revision":`))
	}
	put := func(s platform.Store) error {
		_, err := s.Put(t.Context(), platformapi.PutRequest{Key: "k"})
		return err
	}
	get := func(s platform.Store) error {
		_, _, err := s.Get(t.Context(), "k")
		return err
	}
	keepAlive := func(s platform.Store) error { return s.KeepAlive(t.Context(), 1) }
	for _, tc := range []struct {
		name    string
		address string
		call    func(platform.Store) error
		kind    fault.Kind
		outcome fault.Outcome
	}{
		{"write, nobody listens", unusedAddress, put, fault.StoreUnavailable, fault.NotRun},
		{"write, answer lost", serve(t, abort), put, fault.StoreUnavailable, fault.Unknown},
		{"write, answer cut", serve(t, truncated), put, fault.StoreUnavailable, fault.Unknown},
		{"write, server error", serve(t, respond(500, "")), put, fault.StoreUnavailable, fault.Unknown},
		{"write, rate used up", serve(t, respond(429, "")), put, fault.StoreUnavailable, fault.NotRun},
		{"read, answer lost", serve(t, abort), get, fault.StoreUnavailable, fault.NotRun},
		{"renewal, answer lost", serve(t, abort), keepAlive, fault.StoreUnavailable, fault.Unknown},
		{"renewal, lease ended", serve(t, respond(404, "")), keepAlive, fault.NotFound, fault.NotRun},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			err := tc.call(platform.NewStore(tc.address))
			is.Equal(fault.Of(err).Kind(), tc.kind)
			is.Equal(fault.Of(err).Outcome(), tc.outcome)
		})
	}
}

func TestMalformedAnswersOfTheStoreHaveNoEffect(t *testing.T) {
	for name, text := range answertest.Malformed("", `{"revision":7}`) {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			store := platform.NewStore(serve(t, answertest.Raw(text)), platform.WithTimeout(time.Minute))
			_, err := store.Put(t.Context(), platformapi.PutRequest{Key: "k"})
			is.True(err != nil)
			is.Equal(fault.Of(err).Kind(), fault.StoreUnavailable)
			is.Equal(fault.Of(err).Outcome(), fault.Unknown)
			err = store.KeepAlive(t.Context(), 1)
			is.True(err != nil)
			is.Equal(fault.Of(err).Outcome(), fault.Unknown)
			_, _, err = store.Get(t.Context(), "k")
			is.True(fault.Is(err, fault.StoreUnavailable))
		})
	}
}

// TestTimedOutConnectionIsNotReused ends the time of a call once the store has its request:
// a call that ends before it has a connection hasn't run.
func TestTimedOutConnectionIsNotReused(t *testing.T) {
	is := is.New(t)
	var stalledAddress atomic.Value // the remote address of the first connection, which gets no response
	arrived, release := make(chan struct{}, 2), make(chan struct{})
	address := serve(t, func(w http.ResponseWriter, r *http.Request) {
		if first := stalledAddress.CompareAndSwap(nil, r.RemoteAddr); first || stalledAddress.Load() == r.RemoteAddr {
			arrived <- struct{}{}
			<-release
			return
		}
		respond(http.StatusOK, platformapi.WriteResponse{Revision: 2})(w, r)
	})
	defer close(release)
	var calls []platform.Call
	observe := platform.WithObserver(clock.System(), func(c platform.Call) { calls = append(calls, c) })
	store := platform.NewStore(address, platform.WithTimeout(time.Minute), observe)
	ctx, cancel := context.WithCancel(t.Context())
	var group sync.WaitGroup
	group.Go(func() {
		<-arrived
		cancel()
	})
	_, err := store.Put(ctx, platformapi.PutRequest{Key: "k"})
	group.Wait()
	is.Equal(fault.Of(err).Outcome(), fault.Unknown)
	revision, err := store.Put(t.Context(), platformapi.PutRequest{Key: "k"})
	is.NoErr(err)
	is.Equal(revision, uint64(2))
	is.Equal(len(calls), 2)
	is.Equal([]string{calls[0].Kind, calls[1].Kind}, []string{"put", "put"})
	is.Equal([]bool{calls[0].Failed, calls[1].Failed}, []bool{true, false})
}

func TestLargeValueIsNotSent(t *testing.T) {
	is := is.New(t)
	store := platform.NewStore(serve(t, abort))
	value := make([]byte, platformapi.MaxValueBytes+1)
	_, err := store.Put(t.Context(), platformapi.PutRequest{Key: "k", Value: value})
	is.True(fault.Is(err, fault.TooLarge))
	is.Equal(fault.Of(err).Field(), "k")
}

// recordingClock records the durations of its sleeps and returns at once.
type recordingClock struct {
	clock.Clock
	slept []time.Duration
}

func (c *recordingClock) Sleep(_ context.Context, d time.Duration) error {
	c.slept = append(c.slept, d)
	return nil
}

func TestFetchWeightsWaitsForRetryAfter(t *testing.T) {
	is := is.New(t)
	var n atomic.Int64
	address := serve(t, func(w http.ResponseWriter, r *http.Request) {
		if n.Add(1) == 1 {
			w.Header().Set("Retry-After", "0.250")
			w.WriteHeader(http.StatusTooManyRequests)
			return
		}
		respond(http.StatusOK, platformapi.Weights{Model: strings.TrimPrefix(r.URL.Path, platformapi.PathWeights)})(w, r)
	})
	clk := &recordingClock{Clock: clock.System()}
	res, err := platform.NewWeights(address, clk).Fetch(t.Context(), "m1")
	is.NoErr(err)
	is.Equal(res.Model, "m1")
	is.Equal(clk.slept, []time.Duration{250 * time.Millisecond})
}

func TestListOfInstances(t *testing.T) {
	is := is.New(t)
	rows := []platformapi.Instance{{ID: "i1", Address: "127.0.0.1:1", Zone: "z1", State: platformapi.Leaving}}
	address := serve(t, respond(http.StatusOK, platformapi.InstancesResponse{Instances: rows}))
	got, err := platform.NewInstanceList(address).Instances(t.Context())
	is.NoErr(err)
	is.Equal(got, rows)
}
