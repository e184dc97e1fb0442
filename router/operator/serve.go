package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"runtime/debug"

	"cicadawell.dev/fleet/fault"
	"cicadawell.dev/fleet/operatorapi"
	"github.com/gin-gonic/gin"
)

// call is one authenticated call.
type call struct {
	ctx context.Context
	by  Operator
	gin *gin.Context
}

// handler answers a call with a message.
type handler func(c call) (any, error)

// serve checks the operator's key and right before h.
func (s *server) serve(r right, h handler) gin.HandlerFunc {
	return func(c *gin.Context) {
		by, err := s.keys.find(c.GetHeader("Authorization"))
		if err != nil {
			refuse(c, err)
			return
		}
		if !by.has(r) {
			refuse(c, fault.New(fault.Forbidden, "operator %s may not do this", by.Name))
			return
		}
		ctx, cancel := context.WithTimeout(c.Request.Context(), callTimeout)
		defer cancel()
		answer, err := h(call{ctx: ctx, by: by, gin: c})
		s.logCall(c, by, err)
		if err != nil {
			refuse(c, err)
			return
		}
		c.JSON(http.StatusOK, answer)
	}
}

func (s *server) logCall(c *gin.Context, by Operator, err error) {
	if c.Request.Method == http.MethodGet {
		return
	}
	if err != nil {
		s.log.Warn("operator call refused", "operator", by.Name, "path", c.Request.URL.Path, "error", err)
		return
	}
	s.log.Info("operator call", "operator", by.Name, "path", c.Request.URL.Path)
}

// conflict is an error with what stands in the way.
type conflict interface {
	error
	// Stands fills in the state that stands.
	Stands(r *operatorapi.Refusal)
}

// refuse answers with an error and, after a conflict, with what stands.
func refuse(c *gin.Context, err error) {
	e := fault.Of(err)
	body := operatorapi.Refusal{Error: e.Message()}
	var in conflict
	if errors.As(err, &in) {
		in.Stands(&body)
	}
	c.AbortWithStatusJSON(fault.AnswerOf(e.Kind()).Status, body)
}

// recover answers a panic as an internal error.
func (s *server) recover(c *gin.Context) {
	defer func() {
		if p := recover(); p != nil {
			s.log.Error("panic in operator call", "panic", p, "stack", string(debug.Stack()))
			refuse(c, fault.New(fault.Internal, "unexpected failure"))
		}
	}()
	c.Next()
}

func (s *server) noRoute(c *gin.Context) {
	refuse(c, fault.New(fault.NotFound, "no %s %s", c.Request.Method, c.Request.URL.Path))
}

// decode reads a body of at most limit bytes into v and refuses unknown fields.
func decode(c call, limit int64, v any) error {
	body, err := io.ReadAll(http.MaxBytesReader(c.gin.Writer, c.gin.Request.Body, limit))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return fault.New(fault.TooLarge, "found more than %d bytes", limit).WithField("body")
	case err != nil:
		return fault.Wrap(fault.SlowCaller, err, "read body").WithField("body")
	}
	return decodeStrict(body, v)
}

// decodeStrict decodes one JSON value without unknown fields.
func decodeStrict(data []byte, v any) error {
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		return fault.Wrap(fault.BadRequest, err, "decode JSON").WithField("body")
	}
	if d.More() {
		return fault.New(fault.BadRequest, "found more than one JSON value").WithField("body")
	}
	return nil
}
