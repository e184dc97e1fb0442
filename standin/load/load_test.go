package load_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"cicadawell.dev/fleet/bundle"
	"cicadawell.dev/fleet/callerapi"
	"cicadawell.dev/fleet/clock"
	"cicadawell.dev/fleet/fault"
	"cicadawell.dev/standin/load"
	"cicadawell.dev/standin/runner"
	"github.com/matryer/is"
)

// routerFunc is the handler of a test router. n is the number of the call, from 1.
type routerFunc func(w http.ResponseWriter, req callerapi.Request, n int64)

// startRouter starts a test router that handles calls with respond, and returns a client
// for it.
func startRouter(t *testing.T, respond routerFunc) *load.Client {
	t.Helper()
	var n atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var req callerapi.Request
		if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
			t.Error(err)
		}
		respond(w, req, n.Add(1))
	}))
	t.Cleanup(server.Close)
	return &load.Client{
		HTTP: server.Client(), Clock: clock.System(),
		Key:  func(team string) string { return "key of " + team },
		Next: func() string { return strings.TrimPrefix(server.URL, "http://") },
	}
}

var generate = bundle.Pipeline{ID: "p", Stages: []bundle.Stage{{Name: "generate", Streams: true, Idempotent: true}}}

func answerFor(req callerapi.Request) (callerapi.Response, []string) {
	output, tokens, err := runner.Output("generate", true, req.Input)
	if err != nil {
		panic(err)
	}
	return callerapi.Response{Request: "r", Outcome: fault.Run, Output: output}, tokens
}

// writeStream writes the tokens from first up to but excluding last, numbered from
// firstIndex, and then the end event if end is set.
func writeStream(w http.ResponseWriter, req callerapi.Request, first, last, firstIndex int, end bool) {
	answer, tokens := answerFor(req)
	for i := first; i < last; i++ {
		data, _ := json.Marshal(callerapi.Token{Index: firstIndex + i - first, Text: tokens[i]})
		fmt.Fprintf(w, "event: token\ndata: %s\n\n", data)
	}
	if end {
		data, _ := json.Marshal(answer)
		fmt.Fprintf(w, "event: end\ndata: %s\n\n", data)
	}
}

func TestIncompleteStreamIsNoAnswer(t *testing.T) {
	call := load.Call{
		Pipeline: generate, Work: runner.Work{Text: "x", Tokens: 4}, Deadline: 300 * time.Millisecond, Stream: true,
	}
	for _, tc := range []struct {
		name                    string
		first, last, firstIndex int
		end                     bool
		outcome                 fault.Outcome
	}{
		{"whole", 0, 4, 0, true, fault.Run},
		{"without its end mark", 0, 4, 0, false, fault.Unknown},
		{"without its last token", 0, 3, 0, true, fault.Unknown},
		{"without its first token", 1, 4, 1, true, fault.Unknown},
		{"wrongly numbered", 0, 4, 1, true, fault.Unknown},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			client := startRouter(t, func(w http.ResponseWriter, req callerapi.Request, _ int64) {
				writeStream(w, req, tc.first, tc.last, tc.firstIndex, tc.end)
			})
			reply := client.Do(t.Context(), call)
			is.Equal(reply.Outcome, tc.outcome)
			is.Equal(reply.Mismatch, "")
			is.Equal(reply.Response != nil, tc.outcome == fault.Run)
		})
	}
}

func TestAnswerOfAnotherCallIsWrong(t *testing.T) {
	is := is.New(t)
	client := startRouter(t, func(w http.ResponseWriter, _ callerapi.Request, _ int64) {
		other, _ := answerFor(callerapi.Request{Input: json.RawMessage(`{"text":"another's"}`)})
		_ = json.NewEncoder(w).Encode(other)
	})
	reply := client.Do(t.Context(), load.Call{Pipeline: generate, Work: runner.Work{Text: "own"}, Deadline: time.Second})
	is.True(reply.Mismatch != "")
}

func TestCallIsRetriedAfterBrokenConnectionIfSafe(t *testing.T) {
	nonIdempotent := bundle.Pipeline{ID: "p", Stages: []bundle.Stage{{Name: "generate"}}}
	for _, tc := range []struct {
		name     string
		pipeline bundle.Pipeline
		key      string
		attempts int
	}{
		{"idempotent", generate, "", 2},
		{"with a key", nonIdempotent, "k", 2},
		{"without a key", nonIdempotent, "", 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			client := startRouter(t, func(w http.ResponseWriter, req callerapi.Request, n int64) {
				if n == 1 {
					panic(http.ErrAbortHandler)
				}
				answer, _ := answerFor(req)
				_ = json.NewEncoder(w).Encode(answer)
			})
			reply := client.Do(t.Context(), load.Call{Pipeline: tc.pipeline, Key: tc.key, Deadline: time.Second})
			is.Equal(reply.Attempts, tc.attempts)
		})
	}
}

func TestOutcomeStaysUnknownAfterRefusal(t *testing.T) {
	is := is.New(t)
	client := startRouter(t, func(w http.ResponseWriter, _ callerapi.Request, n int64) {
		if n == 1 {
			panic(http.ErrAbortHandler)
		}
		w.WriteHeader(http.StatusServiceUnavailable)
		response := callerapi.ErrorResponse{Request: "r2", Error: fault.New(fault.HomeUnsettled, "x").Message()}
		_ = json.NewEncoder(w).Encode(response)
	})
	reply := client.Do(t.Context(), load.Call{Pipeline: generate, Key: "k", Deadline: time.Second})
	is.Equal(reply.Outcome, fault.Unknown)
	is.Equal(reply.Kind, fault.HomeUnsettled)
	is.Equal(reply.NotRunRequests, []string{"r2"})
}

// TestKeyIsReplacedOnlyAfterNotRun guards against replacing the key of a call with an
// unknown outcome: only the old key can still return its answer.
func TestKeyIsReplacedOnlyAfterNotRun(t *testing.T) {
	for kind, replaced := range map[fault.Kind]int{fault.HomeUnsettled: 1, fault.DeadlineExceeded: 0} {
		t.Run(string(kind), func(t *testing.T) {
			is := is.New(t)
			client := startRouter(t, func(w http.ResponseWriter, req callerapi.Request, n int64) {
				answer, _ := answerFor(req)
				if n > 1 {
					_ = json.NewEncoder(w).Encode(answer)
					return
				}
				w.WriteHeader(http.StatusServiceUnavailable)
				message := fault.New(kind, "x").WithRetryAfter(time.Millisecond).Message()
				_ = json.NewEncoder(w).Encode(callerapi.ErrorResponse{Request: "r1", Error: message})
			})
			client.NewKey = func() string { return "second" }
			reply := client.Do(t.Context(), load.Call{Pipeline: generate, Key: "first", Deadline: time.Second, RetryRefused: true})
			is.Equal(reply.Outcome, fault.Run)
			is.Equal(len(reply.ReplacedKeys), replaced)
			is.Equal(reply.Key == "second", replaced == 1)
		})
	}
}

func TestSameSeedGivesSameArrivals(t *testing.T) {
	is := is.New(t)
	client := startRouter(t, func(w http.ResponseWriter, req callerapi.Request, _ int64) {
		answer, _ := answerFor(req)
		_ = json.NewEncoder(w).Encode(answer)
	})
	run := func(factor float64) *load.ClassResult {
		r := load.Run(t.Context(), load.Config{
			Classes:  []load.Class{{Name: "c", Teams: []string{"t"}, Pipeline: generate, Rate: 100, DeadlineMillis: 60_000}},
			Bursts:   []load.Burst{{ToMillis: 1000, Factor: factor}},
			Duration: time.Second, Seed: 7, Clock: clock.System(),
			Routers: func() []string { return []string{client.Next()} }, Key: client.Key,
		})
		return r.Class("c")
	}
	first := run(1)
	is.Equal(first.Sent, run(1).Sent)
	is.True(run(3).Sent > 2*first.Sent)
	is.Equal(first.InTime, first.Sent)
	is.Equal(first.Seconds[0], load.Second{Sent: first.Sent, InTime: first.InTime})
}
