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

// serveOnce answers a call that may not be repeated. It goes on when the
// caller leaves: what was begun is finished and its answer kept.
func (s *server) serveOnce(c *gin.Context, x *exchange) {
	ctx, cancel := context.WithDeadline(context.WithoutCancel(c.Request.Context()), x.deadline)
	defer cancel()
	answer, replayed, err := s.Ledger.Do(ctx, ledger.Call{
		Request:         x.id,
		Team:            x.team.ID,
		Pipeline:        x.pipeline.ID,
		Key:             x.key,
		BodyHash:        bodyHash(x),
		Input:           x.request.Input,
		RemainingMillis: runner.TimeLeft(s.Clock.Now(), x.deadline),
	})
	if err != nil {
		s.refuse(c, x, err)
		return
	}
	for _, stage := range answer.Stages {
		x.spent.Add(stage.RunnerMicros * int64(time.Microsecond))
	}
	if replayed {
		x.spent.Store(0)
		s.Meter.Replayed(x.pipeline.ID)
		c.Header(callerapi.HeaderReplayed, "true")
	}
	s.answer(c, x, answer)
}

// bodyHash identifies what a key was first used for.
func bodyHash(x *exchange) string {
	h := sha256.New()
	h.Write([]byte(x.pipeline.ID))
	h.Write([]byte{0})
	h.Write(x.request.Input)
	return hex.EncodeToString(h.Sum(nil))
}
