package caller

import (
	"net/http"

	"cicadawell.dev/fleet/callerapi"
	"cicadawell.dev/fleet/fault"
	"cicadawell.dev/fleet/runnerapi"
	"github.com/gin-gonic/gin"
)

// serveStream answers with server-sent events. An error before the first event
// is returned as a refusal with its HTTP status; a later error is sent as the
// last event.
func (s *server) serveStream(c *gin.Context, x *exchange) {
	w := &eventWriter{server: s, c: c, x: x}
	job := x.job()
	job.Stream = w
	response, err := s.Executor.Run(c.Request.Context(), job)
	if err != nil && !w.started {
		s.refuse(c, x, err)
		return
	}
	if err != nil {
		e := fault.Of(err)
		s.recordRefusal(x, e)
		w.writeFinal(callerapi.EventError, callerapi.ErrorResponse{Request: x.requestID, Error: e.Message()})
		return
	}
	s.recordResponse(x)
	w.writeFinal(callerapi.EventEnd, response)
}

// eventWriter writes server-sent events to one caller.
type eventWriter struct {
	*server
	c *gin.Context
	x *exchange
	// started is true once the first event is about to be written.
	started bool
}

// Token sends a token event.
func (w *eventWriter) Token(t runnerapi.Token) error {
	if t.Index == 0 {
		w.x.firstToken = w.Clock.Now()
	}
	return w.write(callerapi.EventToken, callerapi.Token{Index: t.Index, Text: t.Text})
}

// writeFinal writes the last event of the stream.
func (w *eventWriter) writeFinal(name string, v any) {
	// A write error means that the caller has disconnected.
	_ = w.write(name, v)
}

func (w *eventWriter) write(name string, v any) error {
	data, err := encode(v)
	if err != nil {
		return err
	}
	w.start()
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

// start sets the status and the headers of the stream on the first call.
func (w *eventWriter) start() {
	if w.started {
		return
	}
	w.started = true
	w.closeWhenDraining(w.c)
	w.c.Header("Content-Type", "text/event-stream")
	w.c.Header("Cache-Control", "no-store")
	w.c.Status(http.StatusOK)
}
