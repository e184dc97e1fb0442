package proof_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"testing"

	"cicadawell.dev/fleet/callerapi"
	"cicadawell.dev/fleet/fault"
	"cicadawell.dev/standin/runner"
	"cicadawell.dev/standin/scene"
	"github.com/google/uuid"
	"github.com/matryer/is"
)

// bookingResult is the response to one attempt of a booking.
type bookingResult struct {
	status        int
	replayed      bool
	response      callerapi.Response
	errorResponse callerapi.ErrorResponse
}

// book sends one attempt of a booking to a router.
func book(t *testing.T, p *scene.Process, team, key, text string) bookingResult {
	t.Helper()
	input, err := json.Marshal(runner.Work{Text: text})
	if err != nil {
		t.Error(err)
	}
	body, err := json.Marshal(callerapi.Request{Input: input, DeadlineMillis: 5000})
	if err != nil {
		t.Error(err)
	}
	url := "http://" + p.Address + callerapi.PathPipelines + scene.Book
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		t.Error(err)
		return bookingResult{}
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Authorization", "Bearer "+scene.TeamKey(team))
	req.Header.Set(callerapi.HeaderKey, key)
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Error(err)
		return bookingResult{}
	}
	defer res.Body.Close()
	b := bookingResult{status: res.StatusCode, replayed: res.Header.Get(callerapi.HeaderReplayed) == "true"}
	var target any = &b.errorResponse
	if b.status == http.StatusOK {
		target = &b.response
	}
	if err := json.NewDecoder(res.Body).Decode(target); err != nil {
		t.Error(err)
	}
	return b
}

func newKey() string { return uuid.Must(uuid.NewV7()).String() }

// runsOf returns the number of runs of a key by team.
func runsOf(t *testing.T, s *scene.Fleet, key string) map[string]int {
	t.Helper()
	recs, err := s.Records(t.Context())
	is.New(t).NoErr(err)
	runs := map[string]int{}
	for _, rec := range recs {
		for _, run := range rec.Runs {
			if run.Key == key {
				runs[run.Team]++
			}
		}
	}
	return runs
}

// Every router gets the same booking twice at once, and again later. The booking
// runs once, and all calls get the same answer.
func TestSameKeyAtEveryRouter(t *testing.T) {
	is := is.New(t)
	s := startFleet(t)
	for round := range 20 {
		key, text := newKey(), fmt.Sprintf("seat %d", round)
		var group sync.WaitGroup
		var mu sync.Mutex
		got := []bookingResult{}
		for _, p := range append(s.Live(), s.Live()...) {
			group.Go(func() {
				b := book(t, p, "paying1", key, text)
				mu.Lock()
				defer mu.Unlock()
				got = append(got, b)
			})
		}
		group.Wait()
		for _, p := range s.Live() {
			b := book(t, p, "paying1", key, text)
			is.True(b.replayed) // an earlier call produced the answer
			got = append(got, b)
		}
		for _, b := range got {
			is.Equal(b.status, http.StatusOK)
			is.Equal(string(b.response.Output), string(got[0].response.Output))
			is.Equal(b.response.Stages, got[0].response.Stages)
		}
		is.Equal(runsOf(t, s, key), map[string]int{"paying1": 1})
	}
}

// Idempotency keys are scoped by team: a call of another team with the same key
// runs on its own and returns nothing of the first. A call of the same team with
// the same key and another body is refused by every router, correctly as not run.
func TestKeysAreScopedByTeam(t *testing.T) {
	is := is.New(t)
	s := startFleet(t)
	for round := range 20 { // in some rounds, the calls of both teams have the same home instance
		key := newKey()
		p := s.Routers[round%routerCount]
		first := book(t, s.Routers[0], "paying1", key, "seat of team 1")
		is.Equal(first.status, http.StatusOK)
		other := book(t, p, "paying2", key, "seat of team 2")
		is.Equal(other.status, http.StatusOK)
		is.True(string(other.response.Output) != string(first.response.Output))
		guessed := book(t, p, "paying3", key, "seat of team 1")
		is.Equal(guessed.status, http.StatusOK)
		is.True(guessed.response.Request != first.response.Request)
		changed := book(t, p, "paying1", key, "another seat")
		is.Equal(changed.errorResponse.Error.Kind, fault.KeyConflict)
		is.Equal(changed.errorResponse.Error.Outcome, fault.NotRun)
		is.Equal(runsOf(t, s, key), map[string]int{"paying1": 1, "paying2": 1, "paying3": 1})
	}
}

// A malformed key is refused before anything runs.
func TestBadKeysDoNotRun(t *testing.T) {
	is := is.New(t)
	s := startFleet(t)
	for _, key := range []string{"x", uuid.Nil.String(), uuid.NewString(), newKey() + "0"} {
		b := book(t, s.Routers[0], "paying1", key, "seat")
		is.Equal(b.errorResponse.Error.Kind, fault.BadKey)
		is.Equal(b.errorResponse.Error.Outcome, fault.NotRun)
		is.Equal(len(runsOf(t, s, key)), 0)
	}
}
