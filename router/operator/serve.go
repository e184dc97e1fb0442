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

// call is one call by an authenticated operator.
type call struct {
	ctx      context.Context
	operator Operator
	gin      *gin.Context
}

// handler handles a call and returns the body of the response.
type handler func(c call) (any, error)

// serve returns a gin handler that authenticates the operator and checks its
// permission before it calls h.
func (s *server) serve(p permission, h handler) gin.HandlerFunc {
	return func(c *gin.Context) {
		by, err := s.keys.authenticate(c.GetHeader("Authorization"))
		if err != nil {
			refuse(c, err)
			return
		}
		if !by.allows(p) {
			refuse(c, fault.New(fault.Forbidden, "operator %s may not do this", by.Name))
			return
		}
		ctx, cancel := context.WithTimeout(c.Request.Context(), callTimeout)
		defer cancel()
		answer, err := h(call{ctx: ctx, operator: by, gin: c})
		s.logCall(c, by, err)
		if err != nil {
			refuse(c, err)
			return
		}
		c.JSON(http.StatusOK, answer)
	}
}

// logCall logs calls that may change state, and their errors.
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

// conflict is an error about a conflict with the current state.
type conflict interface {
	error
	// AddCurrentState adds the current state to r.
	AddCurrentState(r *operatorapi.ErrorResponse)
}

// refuse responds with an error and, if it is a conflict, with the current state.
func refuse(c *gin.Context, err error) {
	e := fault.Of(err)
	body := operatorapi.ErrorResponse{Error: e.Message()}
	var stateful conflict
	if errors.As(err, &stateful) {
		stateful.AddCurrentState(&body)
	}
	c.AbortWithStatusJSON(fault.ResponseOf(e.Kind()).Status, body)
}

// recover is a middleware that turns a panic into an internal error.
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

// decode decodes a body of at most limit bytes into v and rejects unknown fields.
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

// decodeStrict decodes a single JSON value and rejects unknown fields.
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
