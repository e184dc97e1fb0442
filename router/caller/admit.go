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
	"cicadawell.dev/router/drain"
	"github.com/gin-gonic/gin"
)

// admit fills x from the request, or returns the reason for a refusal. release is
// never nil; it releases the bytes reserved for the request's body.
func (s *server) admit(c *gin.Context, x *exchange) (release func(), err error) {
	release = func() {}
	if err := s.Readiness.Ready(); err != nil {
		return release, err
	}
	current, err := s.Catalog.Load()
	if err != nil {
		return release, err
	}
	apiKey, err := bearerKey(c.Request)
	if err != nil {
		return release, err
	}
	if x.team, err = current.TeamByKey(apiKey); err != nil {
		return release, err
	}
	if x.pipeline, err = current.Pipeline(c.Param("pipeline")); err != nil {
		return release, err
	}
	if ok, wait := s.RateLimiter.Allow(x.team.Team, x.arrived); !ok {
		return release, fault.New(fault.TeamLimit, "team %s is over its limit", x.team.ID).WithRetryAfter(wait)
	}
	if release, err = s.reserveBodyBytes(x.pipeline.MaxBodyBytes); err != nil {
		return release, err
	}
	data, err := s.readBody(c, x)
	if err != nil {
		return release, err
	}
	if err := x.parse(c, data); err != nil {
		return release, err
	}
	// What can't be done by the end of a shutdown isn't begun.
	if end, ok := s.drain.CallsEnd(); ok && end.Before(x.deadline) {
		x.deadline = end
	}
	return release, nil
}

func bearerKey(r *http.Request) (string, error) {
	scheme, key, ok := strings.Cut(r.Header.Get("Authorization"), " ")
	if !ok || !strings.EqualFold(scheme, "Bearer") || key == "" {
		return "", fault.New(fault.Unauthenticated, "found no API key, allowed is \"Bearer KEY\"").WithField("Authorization")
	}
	return key, nil
}

// reserveBodyBytes reserves n bytes of maxBodyBytesInFlight, or fails with
// Overloaded.
func (s *server) reserveBodyBytes(n int64) (release func(), err error) {
	if s.bodyBytes.Add(n) > maxBodyBytesInFlight {
		s.bodyBytes.Add(-n)
		return func() {}, fault.New(fault.Overloaded, "request bodies take %d bytes already", int64(maxBodyBytesInFlight))
	}
	return func() { s.bodyBytes.Add(-n) }, nil
}

// readBody reads the whole body within its size limit and the body timeout.
func (s *server) readBody(c *gin.Context, x *exchange) ([]byte, error) {
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
	// The error is ignored: writers in tests don't support deadlines.
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
	drain.ConnectionOf(c.Request.Context()).EndRequest()
	// After a failure the deadline stays set, since the server reads the
	// rest of the body before it answers.
	_ = control.SetReadDeadline(time.Time{})
	return data, nil
}

func isJSON(contentType string) bool {
	const jsonType = "application/json"
	if contentType == jsonType {
		return true
	}
	mediaType, _, err := mime.ParseMediaType(contentType)
	return err == nil && mediaType == jsonType
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

// parse decodes the body and validates it, the deadline and the idempotency key
// against the pipeline.
func (x *exchange) parse(c *gin.Context, data []byte) error {
	if err := decode(data, &x.request); err != nil {
		return err
	}
	if len(x.request.Input) == 0 || bytes.Equal(x.request.Input, []byte("null")) {
		return fault.New(fault.BadRequest, "found nothing, allowed is any JSON value").WithField("input")
	}
	if err := x.setDeadline(); err != nil {
		return err
	}
	return x.setIdempotencyKey(c)
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

// setIdempotencyKey reads the idempotency key. A non-idempotent pipeline requires
// it, an idempotent one ignores it. The ledger validates its format.
func (x *exchange) setIdempotencyKey(c *gin.Context) error {
	if x.pipeline.Idempotent() {
		return nil
	}
	x.idempotencyKey = c.GetHeader(callerapi.HeaderKey)
	if x.idempotencyKey == "" {
		return fault.New(fault.BadKey, "found none, allowed is a UUID of version 7").WithField(callerapi.HeaderKey)
	}
	if x.request.Stream {
		return fault.New(fault.BadRequest, "found true, allowed only on pipelines that may be repeated").WithField("stream")
	}
	return nil
}
