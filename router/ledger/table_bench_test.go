package ledger_test

import (
	"context"
	"fmt"
	"runtime"
	"strings"
	"testing"

	"cicadawell.dev/fleet/callerapi"
	"cicadawell.dev/fleet/clock"
	"cicadawell.dev/router/ledger"
	"github.com/google/uuid"
)

// BenchmarkCallAtHome measures one call at its home, and the memory for each
// stored key with a response of 200 bytes.
func BenchmarkCallAtHome(b *testing.B) {
	for _, keys := range []int{1000, 10_000, 100_000} {
		b.Run(fmt.Sprint(keys), func(b *testing.B) {
			var bytesPerKey float64
			for b.Loop() {
				bytesPerKey = measureBytesPerKey(b, keys)
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(keys), "ns/call")
			b.ReportMetric(bytesPerKey, "B/key")
		})
	}
}

// echoRunner is a runner that returns the input as its output.
type echoRunner struct{}

func (echoRunner) RunOnce(_ context.Context, call ledger.Call, guard func() error) (callerapi.Response, error) {
	return callerapi.Response{Request: call.Request, Output: call.Input}, guard()
}

// measureBytesPerKey fills a ledger with keys and returns the memory used by
// each.
func measureBytesPerKey(tb testing.TB, keys int) float64 {
	clk := clock.System()
	meshes := make(map[string]*localMesh)
	l := ledger.New(ledger.WithID("a"), ledger.WithExecutor(echoRunner{}), ledger.WithTableLimits(keys, 1<<30),
		ledger.WithMesh(newLocalMesh(meshes, "a")), ledger.WithRoster(fixedRoster{clk, "a", []string{"a"}}))
	defer l.Close()
	before := heapBytes()
	body := strings.Repeat("x", 200)
	for range keys {
		call := callOf("team", uuid.Must(uuid.NewV7()).String(), "")
		call.Input, call.BodyHash = []byte(`"`+body+`"`), strings.Clone(body[:64])
		if _, _, err := l.Do(tb.Context(), call); err != nil {
			tb.Fatal(err)
		}
	}
	used := heapBytes() - before
	runtime.KeepAlive(l)
	return float64(used) / float64(keys)
}

func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// TestMemoryPerKeyBound checks that a stored key with its response takes at most
// limit bytes, so that the bound on keys also bounds an instance's memory, and
// that the memory for each key does not grow with their number.
func TestMemoryPerKeyBound(t *testing.T) {
	const limit = 1024
	few, many := measureBytesPerKey(t, 10_000), measureBytesPerKey(t, 50_000)
	if few > limit || many > limit || many > 1.5*few {
		t.Errorf("%.0f bytes a key among 10,000 and %.0f among 50,000, at most %d are allowed", few, many, limit)
	}
	t.Logf("%.0f bytes a key among 10,000, %.0f among 50,000", few, many)
}
