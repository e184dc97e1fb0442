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
	"cicadawell.dev/fleet/splice"
	"cicadawell.dev/router/catalog"
	"cicadawell.dev/router/journal"
	"cicadawell.dev/router/pipeline"
	"github.com/gin-gonic/gin"
)

// exchange is one request with what was found out about it so far.
type exchange struct {
	id       string
	arrived  time.Time
	deadline time.Time
	team     catalog.Team
	pipeline bundle.Pipeline
	request  callerapi.Request
	key      string
	// firstToken is the zero time before the first token.
	firstToken time.Time
	// spent is how long the attempts held runners, in nanoseconds.
	spent atomic.Int64
}

// ended describes the request at its end.
func (x *exchange) ended(now time.Time) Ended {
	e := Ended{
		Tier:     x.team.Tier,
		Pipeline: x.pipeline.ID,
		Took:     now.Sub(x.arrived),
		Spent:    time.Duration(x.spent.Load()),
	}
	if !x.firstToken.IsZero() {
		e.FirstToken = x.firstToken.Sub(x.arrived)
	}
	return e
}

// serve answers one request.
func (s *server) serve(c *gin.Context) {
	s.underWay.Add(1)
	defer s.underWay.Add(-1)
	x := &exchange{id: s.Identifiers.NewRequest(), arrived: s.Clock.Now()}
	c.Header(callerapi.HeaderRequest, x.id)
	release, err := s.admit(c, x)
	defer release()
	if err != nil {
		s.refuse(c, x, err)
		return
	}
	s.Journal.Record(journal.Decision{At: x.arrived, Step: journal.Admitted, Request: x.id, Reason: "team " + x.team.ID + ", pipeline " + x.pipeline.ID})
	switch {
	case !x.pipeline.Idempotent():
		s.serveOnce(c, x)
	case x.request.Stream:
		s.serveStream(c, x)
	default:
		s.serveWhole(c, x)
	}
}

func (x *exchange) job() pipeline.Job {
	return pipeline.Job{
		Request:  x.id,
		Team:     x.team,
		Pipeline: x.pipeline,
		Input:    x.request.Input,
		Deadline: x.deadline,
		Spent:    &x.spent,
	}
}

func (s *server) serveWhole(c *gin.Context, x *exchange) {
	answer, err := s.Executor.Run(c.Request.Context(), x.job())
	if err != nil {
		s.refuse(c, x, err)
		return
	}
	s.answer(c, x, answer)
}

// jsonContent is the content type of whole answers, shared by all of them.
var jsonContent = []string{"application/json; charset=utf-8"}

// answer writes a whole answer and counts it.
func (s *server) answer(c *gin.Context, x *exchange, answer callerapi.Answer) {
	s.count(x)
	output := answer.Output
	answer.Output = nil
	data, err := splice.Field(answer, "output", output)
	if err != nil {
		s.refuse(c, x, fault.Wrap(fault.Internal, err, "encode answer").WithOutcome(fault.Run))
		return
	}
	s.boundWrite(c)
	c.Writer.Header()["Content-Type"] = jsonContent
	c.Status(http.StatusOK)
	// A caller that has left cannot be told.
	_, _ = c.Writer.Write(data)
}

func (s *server) count(x *exchange) {
	now := s.Clock.Now()
	s.Meter.Answered(x.ended(now), !now.After(x.deadline))
}

func (s *server) countRefusal(x *exchange, e *fault.Error) {
	if x.id != "" {
		s.Journal.Record(journal.Decision{At: s.Clock.Now(), Step: journal.Refused, Request: x.id, Reason: e.Error()})
	}
	s.Meter.Refused(x.ended(s.Clock.Now()), e)
}

// refuse writes an error with its row of the table from kind to answer.
func (s *server) refuse(c *gin.Context, x *exchange, err error) {
	e := fault.Of(err)
	s.countRefusal(x, e)
	s.boundWrite(c)
	if wait := e.RetryAfter(); wait > 0 {
		seconds := int64((wait + time.Second - 1) / time.Second)
		c.Header("Retry-After", strconv.FormatInt(seconds, 10))
	}
	c.JSON(fault.AnswerOf(e.Kind()).Status, callerapi.Refusal{Request: x.id, Error: e.Message()})
}

// boundWrite ends the connection of a caller that does not read.
func (s *server) boundWrite(c *gin.Context) {
	// Not every writer has deadlines; those of tests do not.
	_ = http.NewResponseController(c.Writer).SetWriteDeadline(s.Clock.Now().Add(s.writeTimeout))
}

func encode(v any) ([]byte, error) {
	data, err := json.Marshal(v)
	if err != nil {
		return nil, fault.Wrap(fault.Internal, err, "encode event")
	}
	return data, nil
}
