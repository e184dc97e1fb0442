package entry

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net/http"
	"testing"

	"cicadawell.dev/fleet/callerapi"
	"cicadawell.dev/fleet/runnerapi"
)

// streamTokens is the number of tokens in a streamed answer of the benchmark.
const streamTokens = 1000

// answerStream is a model engine that sends all tokens without delay, one event
// each.
func answerStream(w http.ResponseWriter, r *http.Request) {
	var req runnerapi.RunRequest
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	out := bufio.NewWriter(w)
	for i := range streamTokens {
		_, _ = fmt.Fprintf(out, "event: token\ndata: {\"attempt\":%q,\"index\":%d,\"text\":\"word \"}\n\n", req.Attempt, i)
	}
	_, _ = fmt.Fprintf(out, "event: end\ndata: {\"attempt\":%q,\"output\":\"done\",\"tokens\":%d}\n\n", req.Attempt, streamTokens)
	_ = out.Flush()
}

// BenchmarkToken measures the processor time of one streamed token, from the
// engine's socket to the caller's. Engine, router and caller run in one process.
func BenchmarkToken(b *testing.B) {
	backend := serveHTTP(b, http.HandlerFunc(answerStream))
	router := serveHTTP(b, costRouter(b, backend))
	body, err := json.Marshal(callerapi.Request{Input: costInput(), DeadlineMillis: 4000, Stream: true})
	if err != nil {
		b.Fatal(err)
	}
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	start := processorTime(b)
	for range b.N {
		if err := post(client, "http://"+router+callerapi.PathPipelines+"stream", body); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64((processorTime(b)-start).Nanoseconds())/float64(b.N*streamTokens), "cpu-ns/token")
}
