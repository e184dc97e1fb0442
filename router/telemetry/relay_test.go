package telemetry_test

import (
	"strings"
	"testing"
	"time"

	"cicadawell.dev/router/telemetry"
	"github.com/matryer/is"
)

func TestRelayMetrics(t *testing.T) {
	is := is.New(t)
	r := telemetry.NewRelay()
	r.Answered("a", "", time.Second)
	r.Answered("a", "overloaded", time.Millisecond)
	r.Attempted("s", 200, time.Second)
	r.Attempted("s", 0, time.Second)
	r.StageEnded("s", "late", time.Second)
	var out strings.Builder
	r.WritePrometheus(&out)
	for _, line := range []string{
		`cicadawell_calls_total{route="a",error="none"} 1`,
		`cicadawell_calls_total{route="a",error="overloaded"} 1`,
		`cicadawell_call_seconds_count{route="a"} 2`,
		`cicadawell_attempts_total{service="s",status="2xx"} 1`,
		`cicadawell_attempts_total{service="s",status="none"} 1`,
		`cicadawell_stages_total{service="s",failure="late"} 1`,
	} {
		is.True(strings.Contains(out.String(), line+"\n"))
	}
}
