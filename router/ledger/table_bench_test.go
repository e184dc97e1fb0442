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

// BenchmarkRemember measures one call at its home, and the memory for each key
// that it remembers with an answer of 200 bytes.
func BenchmarkRemember(b *testing.B) {
	for _, keys := range []int{1000, 10_000, 100_000} {
		b.Run(fmt.Sprint(keys), func(b *testing.B) {
			var bytesPerKey float64
			for b.Loop() {
				bytesPerKey = remember(b, keys)
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(keys), "ns/call")
			b.ReportMetric(bytesPerKey, "B/key")
		})
	}
}

// echo is a runner that answers with the input.
type echo struct{}

func (echo) RunOnce(_ context.Context, call ledger.Call, guard func() error) (callerapi.Answer, error) {
	return callerapi.Answer{Request: call.Request, Output: call.Input}, guard()
}

// remember fills a ledger with keys and returns the memory that each takes.
func remember(tb testing.TB, keys int) float64 {
	clk := clock.System()
	meshes := make(map[string]*localMesh)
	book := ledger.New(ledger.WithID("a"), ledger.WithRunner(echo{}), ledger.WithTable(keys, 1<<30),
		ledger.WithMesh(newLocalMesh(meshes, "a")), ledger.WithRoster(steady{clk, "a", []string{"a"}}))
	defer book.Close()
	before := heap()
	body := strings.Repeat("x", 200)
	for range keys {
		call := callOf("team", uuid.Must(uuid.NewV7()).String(), "")
		call.Input, call.BodyHash = []byte(`"`+body+`"`), strings.Clone(body[:64])
		if _, _, err := book.Do(tb.Context(), call); err != nil {
			tb.Fatal(err)
		}
	}
	used := heap() - before
	runtime.KeepAlive(book)
	return float64(used) / float64(keys)
}

func heap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// TestMemoryPerKeyBound holds that the keys remembered stay within the memory
// that a node has for control, and that a key costs no more among many.
func TestMemoryPerKeyBound(t *testing.T) {
	const most = 1024
	few, many := remember(t, 10_000), remember(t, 50_000)
	if few > most || many > most || many > 1.5*few {
		t.Errorf("%.0f bytes a key among 10,000 and %.0f among 50,000, at most %d are allowed", few, many, most)
	}
	t.Logf("%.0f bytes a key among 10,000, %.0f among 50,000", few, many)
}
