package caller

import (
	"encoding/json"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"cicadawell.dev/fleet/bundle"
	"cicadawell.dev/fleet/callerapi"
	"cicadawell.dev/fleet/fault"
	"cicadawell.dev/fleet/jsonfield"
	"cicadawell.dev/router/catalog"
	"cicadawell.dev/router/drain"
	"cicadawell.dev/router/journal"
	"cicadawell.dev/router/pipeline"
	"github.com/gin-gonic/gin"
)

// exchange is one request with the state collected while it is served.
type exchange struct {
	requestID      string
	arrived        time.Time
	deadline       time.Time
	team           catalog.Team
	pipeline       bundle.Pipeline
	request        callerapi.Request
	idempotencyKey string
	// firstToken is the time of the first token; zero before it.
	firstToken time.Time
	// runnerTime is the total time that the request's attempts occupied runners,
	// in nanoseconds.
	runnerTime atomic.Int64
}

// endedRequest returns the description of the request, which ends now.
func (x *exchange) endedRequest(now time.Time) EndedRequest {
	e := EndedRequest{
		Tier:       x.team.Tier,
		Pipeline:   x.pipeline.ID,
		Took:       now.Sub(x.arrived),
		RunnerTime: time.Duration(x.runnerTime.Load()),
	}
	if !x.firstToken.IsZero() {
		e.FirstToken = x.firstToken.Sub(x.arrived)
	}
	return e
}

// serve handles one request.
func (s *server) serve(c *gin.Context) {
	s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	x := &exchange{requestID: s.Identifiers.NewRequest(), arrived: s.Clock.Now()}
	c.Header(callerapi.HeaderRequest, x.requestID)
	drain.ConnectionOf(c.Request.Context()).Handle(x.requestID)
	release, err := s.admit(c, x)
	defer release()
	if err != nil {
		s.refuse(c, x, err)
		return
	}
	s.Journal.Record(journal.Decision{At: x.arrived, Step: journal.Admitted, Request: x.requestID, Reason: "team " + x.team.ID + ", pipeline " + x.pipeline.ID})
	switch {
	case !x.pipeline.Idempotent():
		s.serveNonIdempotent(c, x)
	case x.request.Stream:
		s.serveStream(c, x)
	default:
		s.serveUnary(c, x)
	}
}

// job returns the pipeline job of an admitted request.
func (x *exchange) job() pipeline.Job {
	return pipeline.Job{
		Request:     x.requestID,
		Team:        x.team,
		Pipeline:    x.pipeline,
		Input:       x.request.Input,
		Deadline:    x.deadline,
		RunnerNanos: &x.runnerTime,
	}
}

// serveUnary answers a call of an idempotent pipeline in one piece, without
// streaming.
func (s *server) serveUnary(c *gin.Context, x *exchange) {
	response, err := s.Executor.Run(c.Request.Context(), x.job())
	if err != nil {
		s.refuse(c, x, err)
		return
	}
	s.writeResponse(c, x, response)
}

// jsonContentType is the Content-Type header of answers that are not streamed,
// shared by all of them.
var jsonContentType = []string{"application/json; charset=utf-8"}

// writeResponse counts a response and writes it in one piece.
func (s *server) writeResponse(c *gin.Context, x *exchange, response callerapi.Response) {
	s.recordResponse(x)
	output := response.Output
	response.Output = nil
	data, err := jsonfield.AppendField(response, "output", output)
	if err != nil {
		s.refuse(c, x, fault.Wrap(fault.Internal, err, "encode answer").WithOutcome(fault.Run))
		return
	}
	s.closeWhenDraining(c)
	c.Writer.Header()["Content-Type"] = jsonContentType
	c.Status(http.StatusOK)
	// A write error means that the caller has disconnected.
	_, _ = c.Writer.Write(data)
}

// recordResponse counts a complete response in the metrics.
func (s *server) recordResponse(x *exchange) {
	now := s.Clock.Now()
	s.Meter.Answered(x.endedRequest(now), !now.After(x.deadline))
}

// recordRefusal records a refusal in the journal and in the metrics.
func (s *server) recordRefusal(x *exchange, e *fault.Error) {
	if x.requestID != "" {
		s.Journal.Record(journal.Decision{At: s.Clock.Now(), Step: journal.Refused, Request: x.requestID, Reason: e.Error()})
	}
	s.Meter.Refused(x.endedRequest(s.Clock.Now()), e)
}

// refuse writes an error with the HTTP status of its kind.
func (s *server) refuse(c *gin.Context, x *exchange, err error) {
	e := fault.Of(err)
	s.recordRefusal(x, e)
	s.closeWhenDraining(c)
	if wait := e.RetryAfter(); wait > 0 {
		seconds := int64((wait + time.Second - 1) / time.Second)
		c.Header("Retry-After", strconv.FormatInt(seconds, 10))
	}
	c.JSON(fault.ResponseOf(e.Kind()).Status, callerapi.ErrorResponse{Request: x.requestID, Error: e.Message()})
}

func encode(v any) ([]byte, error) {
	data, err := json.Marshal(v)
	if err != nil {
		return nil, fault.Wrap(fault.Internal, err, "encode event")
	}
	return data, nil
}
