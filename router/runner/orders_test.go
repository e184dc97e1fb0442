package runner_test

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"cicadawell.dev/fleet/answer/answertest"
	"cicadawell.dev/fleet/bundle"
	"cicadawell.dev/fleet/fault"
	"cicadawell.dev/fleet/runnerapi"
	"cicadawell.dev/router/runner"
	"github.com/matryer/is"
)

// serveOrders starts a server with the handler and returns its runner.
func serveOrders(t *testing.T, handle http.HandlerFunc) bundle.Runner {
	t.Helper()
	s := httptest.NewServer(handle)
	t.Cleanup(s.Close)
	return bundle.Runner{ID: "engine", Address: strings.TrimPrefix(s.URL, "http://")}
}

func passGuard() error { return nil }

func TestSendOrderCarriesFencingTokenAndReturnsState(t *testing.T) {
	is := is.New(t)
	to := serveOrders(t, func(w http.ResponseWriter, r *http.Request) {
		var o runnerapi.Order
		if r.Method == http.MethodPost {
			is.NoErr(json.NewDecoder(r.Body).Decode(&o))
		}
		is.NoErr(json.NewEncoder(w).Encode(runnerapi.State{Models: o.Models, FencingToken: o.FencingToken}))
	})
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	orders := runner.NewOrderClient(time.Minute)
	state, err := orders.SendOrder(ctx, to, runnerapi.Order{FencingToken: 7, Models: []string{"m"}}, passGuard)
	is.NoErr(err)
	is.Equal(state.FencingToken, uint64(7))
	is.Equal(state.Models, []string{"m"})
	state, err = orders.State(ctx, to)
	is.NoErr(err)
	is.Equal(state.FencingToken, uint64(0))
}

func TestOrderWritesNothingWhenTheGuardFails(t *testing.T) {
	is := is.New(t)
	calls := 0
	to := serveOrders(t, func(http.ResponseWriter, *http.Request) { calls++ })
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	errGuard := errors.New("not held")
	_, err := runner.NewOrderClient(time.Minute).SendOrder(ctx, to, runnerapi.Order{}, func() error { return errGuard })
	is.True(errors.Is(err, errGuard))
	is.Equal(calls, 0)
}

func TestOrderErrors(t *testing.T) {
	refuse := func(status int, refusal runnerapi.ErrorResponse) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(status)
			_ = json.NewEncoder(w).Encode(refusal)
		}
	}
	dropConn := func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }
	tests := map[string]struct {
		handler http.HandlerFunc
		kind    fault.Kind
		outcome fault.Outcome
	}{
		"old number":  {refuse(http.StatusConflict, runnerapi.ErrorResponse{}), fault.Conflict, fault.NotRun},
		"refused":     {refuse(http.StatusServiceUnavailable, runnerapi.ErrorResponse{}), fault.RunnerFailed, fault.NotRun},
		"half loaded": {refuse(http.StatusInternalServerError, runnerapi.ErrorResponse{MayHaveRun: true}), fault.OutcomeUnknown, fault.Unknown},
		"cut":         {dropConn, fault.OutcomeUnknown, fault.Unknown},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
			defer cancel()
			_, err := runner.NewOrderClient(time.Minute).SendOrder(ctx, serveOrders(t, tt.handler), runnerapi.Order{}, passGuard)
			is.Equal(fault.Of(err).Kind(), tt.kind)
			is.Equal(fault.Of(err).Outcome(), tt.outcome)
		})
	}
}

func TestMalformedAnswerToOrderIsNoState(t *testing.T) {
	const fields = "Content-Type: application/json\r\n"
	for name, text := range answertest.Merge(answertest.Malformed(fields, `{}`), answertest.Hidden(fields, `{}`)) {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
			defer cancel()
			orders, to := runner.NewOrderClient(time.Minute), serveOrders(t, answertest.Raw(text))
			_, err := orders.SendOrder(ctx, to, runnerapi.Order{}, passGuard)
			is.True(err != nil)
			is.Equal(fault.Of(err).Kind(), fault.OutcomeUnknown)
			is.Equal(fault.Of(err).Outcome(), fault.Unknown)
			_, err = orders.State(ctx, to)
			is.True(err != nil)
			is.Equal(fault.Of(err).Outcome(), fault.Unknown)
			is.NoErr(ctx.Err())
		})
	}
}
