package relay_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"
	"testing/synctest"
	"time"

	"cicadawell.dev/router/inventory"
	"cicadawell.dev/router/relay"
	"cicadawell.dev/router/target"
	"github.com/matryer/is"
)

// fakeQuarantine blocks calls after a number of checks, and records what it is
// told.
type fakeQuarantine struct {
	passes   int
	crashed  []string
	answered int
}

func (q *fakeQuarantine) Blocked(string, target.Prompt) (time.Duration, bool) {
	q.passes--
	return time.Minute, q.passes < 0
}

func (q *fakeQuarantine) Answered(string, target.Prompt) { q.answered++ }

func (q *fakeQuarantine) Crashed(r *inventory.Runner, _ target.Prompt) {
	q.crashed = append(q.crashed, r.ID)
}

// brokenBody is the body of a connection that is closed after some text.
func brokenBody(text string) func(*relay.Answer) {
	return func(a *relay.Answer) {
		a.Events = true
		a.Body = io.MultiReader(strings.NewReader(text), iotest.ErrReader(io.ErrUnexpectedEOF))
	}
}

var (
	closedBeforeEvent = response{"closed before an event", true, answerWith(http.StatusOK, "", brokenBody("id: 1\nda"))}
	closedAfterEvent  = response{"closed after an event", true, answerWith(http.StatusOK, "", brokenBody(one+"id: 2\nda"))}
	endedBeforeEvent  = response{"ended before an event", true, eventAnswer("id: 1\nda", false)}
	closedBeforeHead  = response{"closed before the head", true, func(context.Context) (*relay.Answer, error) {
		return nil, &relay.SendError{Sent: true, Err: io.ErrUnexpectedEOF}
	}}
	garbled = response{"garbled", true, func(context.Context) (*relay.Answer, error) {
		return nil, &relay.SendError{Sent: true, Err: errors.New("malformed response")}
	}}
)

func TestQuarantinedCallReachesNoRunner(t *testing.T) {
	for _, c := range []struct {
		path      string
		responses []response
		passes    int
		status    int
		sends     int
	}{
		{"/staged/1", []response{streamOf(one, false)}, 0, 503, 0},
		{"/safe/1", []response{good}, 0, 503, 0},
		{"/resumable/1", []response{full, streamOf(one, false)}, 2, 503, 1},
		{"/safe/1", []response{full, good}, 2, 503, 1},
		{"/resumable/1", []response{closedBeforeEvent, streamOf(one, false)}, 2, 502, 1},
		{"/safe/1", []response{closedBeforeHead, good}, 2, 502, 1},
		{"/resumable/1", []response{closedAfterEvent, streamOf(two, false)}, 2, -200, 1},
		{"/resumable/1", []response{closedBeforeEvent, streamOf(one, false)}, 9, 200, 2},
	} {
		t.Run(c.path+" "+c.responses[0].name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := &fakeRunners{responses: c.responses, quarantine: &fakeQuarantine{passes: c.passes}}
				p := &fakePieces{}
				w := serveCall(t, c.path, f, p, nil)
				is.Equal(w.Code, c.status)
				is.Equal(len(f.sent), c.sends)
				if c.passes == 0 {
					is.Equal(w.Header().Get("Retry-After"), "60.000")
					is.Equal(len(p.made)+len(p.reserved), 0)
				}
			})
		})
	}
}

func TestOnlyConnectionsLostBeforeTheAnswerAreReported(t *testing.T) {
	for _, c := range []struct {
		path              string
		response          response
		crashed, answered int
	}{
		{"/brief/1", closedBeforeEvent, 1, 0},
		{"/brief/1", endedBeforeEvent, 1, 0},
		{"/brief/1", closedBeforeHead, 1, 0},
		{"/brief/1", streamOf("", false), 1, 0},
		{"/brief/1", closedAfterEvent, 0, 1},
		{"/brief/1", streamOf(one, false), 0, 1},
		{"/brief/1", garbled, 0, 0},
		{"/brief/1", failing, 0, 0},
		{"/brief/1", full, 0, 0},
		{"/brief/1", hanging, 0, 0},
		{"/brief/1", refused, 0, 0},
		{"/single/1", closedBeforeHead, 1, 0},
		{"/single/1", good, 0, 1},
		{"/single/1", full, 0, 0},
		{"/single/1", hanging, 0, 0},
	} {
		t.Run(c.path+" "+c.response.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				q := &fakeQuarantine{passes: 9}
				f := &fakeRunners{responses: []response{c.response}, quarantine: q}
				serveCall(t, c.path, f, &fakePieces{}, nil)
				is.Equal(len(q.crashed), c.crashed)
				is.Equal(q.answered, c.answered)
			})
		})
	}
}
