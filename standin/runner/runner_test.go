package runner

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"cicadawell.dev/fleet/bundle"
	"cicadawell.dev/fleet/callerapi"
	"cicadawell.dev/fleet/clock"
	"cicadawell.dev/fleet/runnerapi"
	"github.com/matryer/is"
)

func TestOverloadRestartsColdStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		m := newPerfModel(Config{Slots: 4, ColdSlots: 1, Warmup: time.Second, StartCold: true}, clock.System())
		first, err := m.acquire(t.Context(), true)
		is.NoErr(err)
		is.True(first.cold && !m.collapseIfOverloaded(first))
		_ = clock.System().Sleep(t.Context(), 900*time.Millisecond)
		second, err := m.acquire(t.Context(), true)
		is.NoErr(err)
		is.True(m.collapseIfOverloaded(second))
		<-first.collapsed // the running calls fail
		_ = clock.System().Sleep(t.Context(), 500*time.Millisecond)
		is.True(m.cold()) // the cold start began again
		_ = clock.System().Sleep(t.Context(), 500*time.Millisecond)
		is.True(!m.cold())
	})
}

func TestPayingWorkGetsTheNextSlot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		m := newPerfModel(Config{Slots: 1, ColdSlots: 1}, clock.System())
		_, err := m.acquire(t.Context(), false)
		is.NoErr(err)
		order := make(chan string, 2)
		enter := func(paying bool, name string) {
			if _, err := m.acquire(t.Context(), paying); err == nil {
				order <- name
				m.release()
			}
		}
		go enter(false, "free")
		synctest.Wait()
		go enter(true, "paying")
		synctest.Wait()
		cancelledCtx, cancel := context.WithCancel(t.Context())
		cancel()
		_, err = m.acquire(cancelledCtx, true)
		is.True(errors.Is(err, context.Canceled)) // leaves the queue
		m.release()
		is.Equal(<-order, "paying")
		is.Equal(<-order, "free")
		synctest.Wait()
		is.Equal(m.running, 0)
	})
}

func TestTokensSlowDownAsTheBatchGrows(t *testing.T) {
	is := is.New(t)
	m := newPerfModel(Config{Slots: 4, ColdSlots: 4, CachedPrefixes: 1}, clock.System())
	_, _ = m.acquire(t.Context(), true)
	single := m.scaledDuration(time.Second)
	_, _ = m.acquire(t.Context(), true)
	is.True(m.scaledDuration(time.Second) > single)
	_, cached := m.prefill("p")
	is.True(!cached)
	_, cached = m.prefill("p")
	is.True(cached)
	_, _ = m.prefill("q") // evicts p
	_, cached = m.prefill("p")
	is.True(!cached)
}

func TestAnswerIsCheckedAgainstItsRequest(t *testing.T) {
	is := is.New(t)
	input := json.RawMessage(`{"text": "hello", "tokens": 3}`)
	encoded, _, err := Output("encode", false, input)
	is.NoErr(err)
	generated, tokens, err := Output("generate", true, encoded)
	is.NoErr(err)
	is.Equal(len(tokens), 3)
	answer := callerapi.Response{Output: generated}
	p := bundle.Pipeline{Stages: []bundle.Stage{{Name: "encode"}, {Name: "generate", Streams: true}}}
	is.NoErr(CheckAnswer(input, p, answer))
	is.True(CheckAnswer(json.RawMessage(`{"text": "other", "tokens": 3}`), p, answer) != nil) // the answer of another request
	truncated := answer
	truncated.Output = json.RawMessage(strings.Replace(string(generated), strings.TrimSpace(tokens[2])+" ", "", 1))
	is.True(CheckAnswer(input, p, truncated) != nil)
}

// post sends a body to a path of r and returns the status and the answer.
func post(t *testing.T, r *Runner, path string, body any) (int, string) {
	t.Helper()
	data, err := json.Marshal(body)
	if err != nil {
		t.Fatal(err)
	}
	w := httptest.NewRecorder()
	r.ServeHTTP(w, httptest.NewRequest(http.MethodPost, path, strings.NewReader(string(data))))
	return w.Code, w.Body.String()
}

func TestOldFencingNumberIsRefused(t *testing.T) {
	for _, checks := range []bool{true, false} {
		is := is.New(t)
		r := New(Config{Slots: 1, ColdSlots: 1, ChecksFencing: checks, Models: []string{"a"}}, clock.System())
		status, _ := post(t, r, runnerapi.PathOrders, runnerapi.Order{FencingToken: 5, Models: []string{"b"}})
		is.Equal(status, http.StatusOK)
		status, _ = post(t, r, runnerapi.PathOrders, runnerapi.Order{FencingToken: 4, Models: []string{"c"}})
		is.Equal(status == http.StatusConflict, checks)
		is.Equal(r.serves("b"), checks)
		is.Equal(r.recorder.rec.Orders[1].Accepted, !checks)
	}
}

func TestRefusedCallsDoNotRunAndRunsAreRecorded(t *testing.T) {
	is := is.New(t)
	r := New(Config{Slots: 1, ColdSlots: 1, Models: []string{"m"}}, clock.System())
	req := runnerapi.RunRequest{Attempt: "a1", Stage: "book", Model: "none", Input: json.RawMessage(`{"text":"x"}`)}
	status, body := post(t, r, runnerapi.PathRun, req)
	is.Equal(status, http.StatusNotFound)
	is.True(strings.Contains(body, `"ran":false`))
	is.Equal(len(r.recorder.rec.Runs), 0)
	req.Model, req.IdempotencyKey = "m", "k"
	status, _ = post(t, r, runnerapi.PathRun, req)
	is.Equal(status, http.StatusOK)
	is.Equal(r.recorder.rec.Runs[0].Key, "k")
	is.Equal(r.recorder.rec.Runs[0].State, Done)
}

func TestLostConnectionStopsOnlyWorkWithoutAKey(t *testing.T) {
	for key, want := range map[string]RunState{"": Cancelled, "k": Done} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			r := New(Config{Slots: 1, ColdSlots: 1, Latency: time.Second}, clock.System())
			ctx, cancel := context.WithCancel(t.Context())
			body := `{"attempt":"a1","stage":"book","idempotencyKey":"` + key + `","input":{"text":"x"}}`
			req := httptest.NewRequestWithContext(ctx, http.MethodPost, runnerapi.PathRun, strings.NewReader(body))
			var group sync.WaitGroup
			group.Go(func() { r.ServeHTTP(httptest.NewRecorder(), req) })
			synctest.Wait()
			cancel()
			group.Wait()
			is.Equal(r.recorder.rec.Runs[0].State, want)
			is.Equal(r.perf.running, 0)
		})
	}
}

func TestCancelStopsAnAttempt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := New(Config{Slots: 1, ColdSlots: 1, Latency: time.Hour}, clock.System())
		done := make(chan int, 1)
		go func() {
			status, _ := post(t, r, runnerapi.PathRun, runnerapi.RunRequest{Attempt: "a1", Input: json.RawMessage(`{"text":"x"}`)})
			done <- status
		}()
		synctest.Wait()
		status, _ := post(t, r, runnerapi.PathCancel, runnerapi.Cancel{Attempt: "a1"})
		is.Equal(status, http.StatusOK)
		is.Equal(<-done, http.StatusInternalServerError)
		is.Equal(r.recorder.rec.Runs[0].State, Cancelled)
	})
}
