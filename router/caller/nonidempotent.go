package caller

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"time"

	"cicadawell.dev/fleet/callerapi"
	"cicadawell.dev/router/ledger"
	"cicadawell.dev/router/runner"
	"github.com/gin-gonic/gin"
)

// serveNonIdempotent answers a call of a non-idempotent pipeline through the
// ledger. The call continues after the caller disconnects, so that its answer is
// stored under the idempotency key.
func (s *server) serveNonIdempotent(c *gin.Context, x *exchange) {
	ctx, cancel := context.WithDeadline(context.WithoutCancel(c.Request.Context()), x.deadline)
	defer cancel()
	response, replayed, err := s.Ledger.Do(ctx, ledger.Call{
		Request:         x.requestID,
		Team:            x.team.ID,
		Pipeline:        x.pipeline.ID,
		Key:             x.idempotencyKey,
		BodyHash:        bodyHash(x),
		Input:           x.request.Input,
		RemainingMillis: runner.RemainingMillis(s.Clock.Now(), x.deadline),
	})
	if err != nil {
		s.refuse(c, x, err)
		return
	}
	for _, stage := range response.Stages {
		x.runnerTime.Add(stage.RunnerMicros * int64(time.Microsecond))
	}
	if replayed {
		x.runnerTime.Store(0)
		s.Meter.Replayed(x.pipeline.ID)
		c.Header(callerapi.HeaderReplayed, "true")
	}
	s.writeResponse(c, x, response)
}

// bodyHash returns the hash of the pipeline and the input with which an
// idempotency key is used.
func bodyHash(x *exchange) string {
	h := sha256.New()
	h.Write([]byte(x.pipeline.ID))
	h.Write([]byte{0})
	h.Write(x.request.Input)
	return hex.EncodeToString(h.Sum(nil))
}
