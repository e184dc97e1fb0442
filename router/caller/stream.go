package caller

import (
	"net/http"

	"cicadawell.dev/fleet/callerapi"
	"cicadawell.dev/fleet/fault"
	"cicadawell.dev/fleet/runnerapi"
	"github.com/gin-gonic/gin"
)

// serveStream answers with server-sent events. Until the first token the
// answer can still be a refusal with a status; from then on an error is the
// last event.
func (s *server) serveStream(c *gin.Context, x *exchange) {
	w := &eventWriter{server: s, c: c, x: x}
	job := x.job()
	job.Stream = w
	answer, err := s.Executor.Run(c.Request.Context(), job)
	if err != nil && !w.begun {
		s.refuse(c, x, err)
		return
	}
	if err != nil {
		e := fault.Of(err)
		s.countRefusal(x, e)
		w.last(callerapi.EventError, callerapi.Refusal{Request: x.id, Error: e.Message()})
		return
	}
	s.count(x)
	w.last(callerapi.EventEnd, answer)
}

// eventWriter writes server-sent events to one caller.
type eventWriter struct {
	*server
	c *gin.Context
	x *exchange
	// begun is true once a byte of the stream was written.
	begun bool
}

// Token passes a token on.
func (w *eventWriter) Token(t runnerapi.Token) error {
	if t.Index == 0 {
		w.x.firstToken = w.Clock.Now()
	}
	return w.write(callerapi.EventToken, callerapi.Token{Index: t.Index, Text: t.Text})
}

func (w *eventWriter) last(name string, v any) {
	// A caller that has left cannot be told.
	_ = w.write(name, v)
}

func (w *eventWriter) write(name string, v any) error {
	data, err := encode(v)
	if err != nil {
		return err
	}
	w.begin()
	w.boundWrite(w.c)
	event := make([]byte, 0, len(data)+len(name)+16)
	event = append(event, "event: "...)
	event = append(event, name...)
	event = append(event, "\ndata: "...)
	event = append(event, data...)
	event = append(event, "\n\n"...)
	if _, err := w.c.Writer.Write(event); err != nil {
		return fault.Wrap(fault.SlowCaller, err, "write event").WithOutcome(fault.Unknown)
	}
	w.c.Writer.Flush()
	return nil
}

func (w *eventWriter) begin() {
	if w.begun {
		return
	}
	w.begun = true
	w.c.Header("Content-Type", "text/event-stream")
	w.c.Header("Cache-Control", "no-store")
	w.c.Status(http.StatusOK)
}
