package caller

import (
	"bytes"
	"errors"
	"io"
	"mime"
	"net/http"
	"os"
	"strings"
	"time"

	"cicadawell.dev/fleet/callerapi"
	"cicadawell.dev/fleet/fault"
	"github.com/gin-gonic/gin"
)

// admit fills x from the request, or says what is wrong with it. release is
// never nil; it gives back what the request's body may take.
func (s *server) admit(c *gin.Context, x *exchange) (release func(), err error) {
	release = func() {}
	if err := s.Readiness.Ready(); err != nil {
		return release, err
	}
	current, err := s.Catalog.Load()
	if err != nil {
		return release, err
	}
	key, err := bearer(c.Request)
	if err != nil {
		return release, err
	}
	if x.team, err = current.TeamByKey(key); err != nil {
		return release, err
	}
	if x.pipeline, err = current.Pipeline(c.Param("pipeline")); err != nil {
		return release, err
	}
	if ok, wait := s.Quotas.Allow(x.team.Team, x.arrived); !ok {
		return release, fault.New(fault.TeamLimit, "team %s is over its limit", x.team.ID).WithRetryAfter(wait)
	}
	if release, err = s.reserve(x.pipeline.MaxBodyBytes); err != nil {
		return release, err
	}
	data, err := s.body(c, x)
	if err != nil {
		return release, err
	}
	return release, x.fill(c, data)
}

func bearer(r *http.Request) (string, error) {
	scheme, key, ok := strings.Cut(r.Header.Get("Authorization"), " ")
	if !ok || !strings.EqualFold(scheme, "Bearer") || key == "" {
		return "", fault.New(fault.Unauthenticated, "found no API key, allowed is \"Bearer KEY\"").WithField("Authorization")
	}
	return key, nil
}

// reserve takes n bytes from what all bodies may take together.
func (s *server) reserve(n int64) (release func(), err error) {
	if s.bodies.Add(n) > maxBodies {
		s.bodies.Add(-n)
		return func() {}, fault.New(fault.Overloaded, "request bodies take %d bytes already", int64(maxBodies))
	}
	return func() { s.bodies.Add(-n) }, nil
}

// body reads the whole body within its limit and time.
func (s *server) body(c *gin.Context, x *exchange) ([]byte, error) {
	limit := x.pipeline.MaxBodyBytes
	if c.Request.ContentLength > limit {
		return nil, tooLarge(c.Request.ContentLength, limit)
	}
	if !isJSON(c.GetHeader("Content-Type")) {
		return nil, fault.New(fault.BadRequest, "found %q, allowed is application/json", c.GetHeader("Content-Type")).WithField("Content-Type")
	}
	if enc := c.GetHeader("Content-Encoding"); enc != "" && enc != "identity" {
		return nil, fault.New(fault.BadRequest, "found %q, allowed is identity", enc).WithField("Content-Encoding")
	}
	control := http.NewResponseController(c.Writer)
	// Not every writer has deadlines; those of tests do not.
	_ = control.SetReadDeadline(s.Clock.Now().Add(s.bodyTimeout))
	var buffer bytes.Buffer
	buffer.Grow(int(max(c.Request.ContentLength, 0)) + bytes.MinRead)
	_, err := buffer.ReadFrom(io.LimitReader(c.Request.Body, limit+1))
	data := buffer.Bytes()
	if err != nil {
		return nil, bodyError(err, len(data))
	}
	if int64(len(data)) > limit {
		return nil, tooLarge(int64(len(data)), limit)
	}
	// The deadline stays after a failure: the server reads what is left of
	// the body before it answers.
	_ = control.SetReadDeadline(time.Time{})
	return data, nil
}

func isJSON(contentType string) bool {
	const plain = "application/json"
	if contentType == plain {
		return true
	}
	kind, _, err := mime.ParseMediaType(contentType)
	return err == nil && kind == plain
}

func bodyError(err error, n int) error {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return fault.Wrap(fault.SlowCaller, err, "body stopped after %d bytes", n).WithField("body")
	}
	return fault.Wrap(fault.BadRequest, err, "body cut after %d bytes", n).WithField("body")
}

func tooLarge(n, limit int64) error {
	return fault.New(fault.TooLarge, "found %d bytes, allowed are %d", n, limit).WithField("body")
}

// fill checks the body and the key against the pipeline.
func (x *exchange) fill(c *gin.Context, data []byte) error {
	if err := decode(data, &x.request); err != nil {
		return err
	}
	if len(x.request.Input) == 0 || bytes.Equal(x.request.Input, []byte("null")) {
		return fault.New(fault.BadRequest, "found nothing, allowed is any JSON value").WithField("input")
	}
	if err := x.setDeadline(); err != nil {
		return err
	}
	return x.setKey(c)
}

func (x *exchange) setDeadline() error {
	d := time.Duration(x.request.DeadlineMillis) * time.Millisecond
	if x.request.DeadlineMillis == 0 {
		d = x.pipeline.Deadline()
	}
	if x.request.DeadlineMillis > x.pipeline.MaxDeadlineMillis || d < minDeadline {
		return fault.New(fault.BadDeadline, "found %d, allowed is 1 to %d", x.request.DeadlineMillis, x.pipeline.MaxDeadlineMillis).WithField("deadlineMillis")
	}
	x.deadline = x.arrived.Add(d)
	return nil
}

// setKey takes the idempotency key, which a pipeline that may not be repeated
// needs and any other ignores. The ledger checks its form.
func (x *exchange) setKey(c *gin.Context) error {
	if x.pipeline.Idempotent() {
		return nil
	}
	x.key = c.GetHeader(callerapi.HeaderKey)
	if x.key == "" {
		return fault.New(fault.BadKey, "found none, allowed is a UUID of version 7").WithField(callerapi.HeaderKey)
	}
	if x.request.Stream {
		return fault.New(fault.BadRequest, "found true, allowed only on pipelines that may be repeated").WithField("stream")
	}
	return nil
}
