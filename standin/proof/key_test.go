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

// booked is what a caller got for one try of a booking.
type booked struct {
	status   int
	replayed bool
	answer   callerapi.Response
	refusal  callerapi.ErrorResponse
}

// book sends one try of a booking to a router.
func book(t *testing.T, p *scene.Process, team, key, text string) booked {
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
		return booked{}
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Authorization", "Bearer "+scene.TeamKey(team))
	req.Header.Set(callerapi.HeaderKey, key)
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Error(err)
		return booked{}
	}
	defer res.Body.Close()
	b := booked{status: res.StatusCode, replayed: res.Header.Get(callerapi.HeaderReplayed) == "true"}
	var into any = &b.refusal
	if b.status == http.StatusOK {
		into = &b.answer
	}
	if err := json.NewDecoder(res.Body).Decode(into); err != nil {
		t.Error(err)
	}
	return b
}

func newKey() string { return uuid.Must(uuid.NewV7()).String() }

// runsOf counts the runs of a key by team.
func runsOf(t *testing.T, s *scene.Scene, key string) map[string]int {
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

// The same booking reaches every router at once, several times over, and once
// more later. It runs once, and all get the same answer.
func TestSameKeyAtEveryRouter(t *testing.T) {
	is := is.New(t)
	s := start(t)
	for round := range 20 {
		key, text := newKey(), fmt.Sprintf("seat %d", round)
		var group sync.WaitGroup
		var mu sync.Mutex
		got := []booked{}
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
			is.Equal(string(b.answer.Output), string(got[0].answer.Output))
			is.Equal(b.answer.Stages, got[0].answer.Stages)
		}
		is.Equal(runsOf(t, s, key), map[string]int{"paying1": 1})
	}
}

// A key belongs to its team: another team's call with the same key runs by
// itself and shows nothing of the first. The same key with another body is
// refused at every router, truthfully as not run.
func TestKeysAreScopedByTeam(t *testing.T) {
	is := is.New(t)
	s := start(t)
	for round := range 20 { // at some, both teams' calls have the same home
		key := newKey()
		p := s.Routers[round%routers]
		first := book(t, s.Routers[0], "paying1", key, "seat of team 1")
		is.Equal(first.status, http.StatusOK)
		other := book(t, p, "paying2", key, "seat of team 2")
		is.Equal(other.status, http.StatusOK)
		is.True(string(other.answer.Output) != string(first.answer.Output))
		guessed := book(t, p, "paying3", key, "seat of team 1")
		is.Equal(guessed.status, http.StatusOK)
		is.True(guessed.answer.Request != first.answer.Request)
		changed := book(t, p, "paying1", key, "another seat")
		is.Equal(changed.refusal.Error.Kind, fault.KeyConflict)
		is.Equal(changed.refusal.Error.Outcome, fault.NotRun)
		is.Equal(runsOf(t, s, key), map[string]int{"paying1": 1, "paying2": 1, "paying3": 1})
	}
}

// A key that is none is refused before anything runs.
func TestBadKeysDoNotRun(t *testing.T) {
	is := is.New(t)
	s := start(t)
	for _, key := range []string{"x", uuid.Nil.String(), uuid.NewString(), newKey() + "0"} {
		b := book(t, s.Routers[0], "paying1", key, "seat")
		is.Equal(b.refusal.Error.Kind, fault.BadKey)
		is.Equal(b.refusal.Error.Outcome, fault.NotRun)
		is.Equal(len(runsOf(t, s, key)), 0)
	}
}
