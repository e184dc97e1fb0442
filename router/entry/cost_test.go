package entry

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"cicadawell.dev/fleet/bundle"
	"cicadawell.dev/fleet/callerapi"
	"cicadawell.dev/fleet/clock"
	"cicadawell.dev/fleet/runnerapi"
	"cicadawell.dev/router/caller"
	"cicadawell.dev/router/catalog"
	"cicadawell.dev/router/deadline"
	"cicadawell.dev/router/journal"
	"cicadawell.dev/router/pipeline"
	"cicadawell.dev/router/pool"
	"cicadawell.dev/router/quota"
	"cicadawell.dev/router/retry"
	"cicadawell.dev/router/runner"
	"cicadawell.dev/router/settings"
	"cicadawell.dev/router/telemetry"
	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"
)

const (
	// costCalls is the number of calls in one round on one path.
	costCalls = 800
	// costRounds is the number of rounds. Each round measures all paths in
	// turn; the median of each path is compared.
	costRounds = 25
	// costWorkers is the number of concurrent callers.
	costWorkers = 16
	// minCostRatio is the minimum ratio of the router's requests per second
	// and core to those of the pass-through handler.
	minCostRatio = 0.70
	costKey      = "paying-key"
)

// TestCostAgainstPassThroughBound compares the processor time of a call through
// the router with that of a call through a net/http handler that only forwards
// bodies. Both include a direct call to the back end, whose time is subtracted
// from both.
func TestCostAgainstPassThroughBound(t *testing.T) {
	is := is.New(t)
	backend := serveHTTP(t, http.HandlerFunc(answerRun))
	pass := serveHTTP(t, passThrough(backend))
	router := serveHTTP(t, costRouter(t, backend))
	run, err := json.Marshal(runnerapi.RunRequest{Attempt: "a", Input: costInput()})
	is.NoErr(err)
	call, err := json.Marshal(callerapi.Request{Input: costInput(), DeadlineMillis: 4000})
	is.NoErr(err)
	var costs [3][]time.Duration
	for range costRounds {
		costs[0] = append(costs[0], measureRound(t, "http://"+backend+runnerapi.PathRun, run))
		costs[1] = append(costs[1], measureRound(t, "http://"+pass+runnerapi.PathRun, run))
		costs[2] = append(costs[2], measureRound(t, "http://"+router+callerapi.PathPipelines+"answer", call))
	}
	direct := median(costs[0])
	passCost, routerCost := median(costs[1])-direct, median(costs[2])-direct
	ratio := float64(passCost) / float64(routerCost)
	t.Logf("pass-through %v, router %v a call: %.2f of its requests a second and core", passCost/costCalls, routerCost/costCalls, ratio)
	is.True(ratio >= minCostRatio)
}

func median(ds []time.Duration) time.Duration {
	slices.Sort(ds)
	return ds[len(ds)/2]
}

func costInput() json.RawMessage {
	return json.RawMessage(`{"text":"` + string(bytes.Repeat([]byte("word "), 100)) + `"}`)
}

// answerRun is a runner that answers immediately.
func answerRun(w http.ResponseWriter, r *http.Request) {
	var req runnerapi.RunRequest
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(runnerapi.RunResult{Attempt: req.Attempt, Output: req.Input, Load: &runnerapi.Load{Running: 1}})
}

// passThrough forwards each body to the back end and copies the answer back.
func passThrough(backend string) http.Handler {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: costWorkers}}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		req, err := http.NewRequestWithContext(r.Context(), http.MethodPost, "http://"+backend+r.URL.Path, r.Body)
		if err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		req.ContentLength = r.ContentLength
		resp, err := client.Do(req)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadGateway)
			return
		}
		defer func() { _ = resp.Body.Close() }()
		w.Header().Set("Content-Type", resp.Header.Get("Content-Type"))
		_, _ = io.Copy(w, resp.Body)
	})
}

func costRouter(t testing.TB, backend string) http.Handler {
	t.Helper()
	clk := clock.System()
	b := costBundle(backend)
	current := &catalog.Current{}
	current.Advance(catalog.New(b))
	pools := pool.New(clk)
	pools.Update(pool.Topology{Runners: b.Runners, Zone: "z1", Instances: []string{"i1"}, Self: "i1", ViewEffective: true})
	pools.ReportLoad("r1", runnerapi.Load{}) // warm and idle
	budgets := deadline.New(clk)
	metrics := telemetry.New()
	log := journal.New(hclog.New(&hclog.LoggerOptions{Output: io.Discard}), clk)
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	group.Go(func() { _ = log.Run(ctx) })
	client := runner.NewClient(clk)
	t.Cleanup(func() {
		cancel()
		group.Wait()
		client.Close()
	})
	ids := newIdentifiers(settings.Settings{ID: "i1"})
	executor := pipeline.NewExecutor(pipeline.Parts{
		Instance: "i1", Clock: clk, Timers: clock.SystemTimers(), Catalog: current, Slots: pools, TimeBudgets: budgets, RetryBudget: retry.New(budgets),
		Runners: client, Journal: log, Meter: stageMeter{metrics}, Identifiers: ids,
	})
	return caller.NewServer(caller.Parts{
		Clock: clk, Readiness: alwaysReady{}, Catalog: current, Executor: executor, RateLimiter: quota.New(), Journal: log,
		Meter: callerMeter{metrics: metrics, zone: "z1"}, Identifiers: ids,
	}).Handler()
}

type alwaysReady struct{}

func (alwaysReady) Ready() error { return nil }

func costBundle(backend string) bundle.Bundle {
	stage := bundle.Stage{Name: "encode", Service: "encode", Idempotent: true, MaxResultBytes: 1 << 16}
	stream := stage
	stream.Streams = true
	return bundle.Bundle{
		Version:   1,
		Tiers:     []bundle.Tier{{ID: "gold", Paying: true}},
		Teams:     []bundle.Team{{ID: "t1", Tier: "gold", KeyHashes: []string{bundle.HashKey(costKey)}}},
		Zones:     []bundle.Zone{{ID: "z1"}},
		Runners:   []bundle.Runner{{ID: "r1", Zone: "z1", Address: backend, Service: "encode", Slots: 64, ColdSlots: 64, ReportsLoad: true}},
		Pipelines: []bundle.Pipeline{costPipeline("answer", stage), costPipeline("stream", stream)},
	}
}

func costPipeline(id string, stage bundle.Stage) bundle.Pipeline {
	return bundle.Pipeline{
		ID: id, Stages: []bundle.Stage{stage}, DeadlineMillis: 4000, MaxDeadlineMillis: 4000, MaxBodyBytes: 1 << 16,
	}
}

func serveHTTP(t testing.TB, h http.Handler) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &http.Server{Handler: h}
	var group sync.WaitGroup
	group.Go(func() { _ = s.Serve(l) })
	t.Cleanup(func() {
		_ = s.Close()
		group.Wait()
	})
	return l.Addr().String()
}

// measureRound makes one round of calls and returns the processor time that this
// process used for it.
func measureRound(t *testing.T, url string, body []byte) time.Duration {
	t.Helper()
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: costWorkers}}
	defer client.CloseIdleConnections()
	start := processorTime(t)
	var group sync.WaitGroup
	for range costWorkers {
		group.Go(func() {
			for range costCalls / costWorkers {
				if err := post(client, url, body); err != nil {
					t.Error(err)
					return
				}
			}
		})
	}
	group.Wait()
	return processorTime(t) - start
}

func post(client *http.Client, url string, body []byte) error {
	req, err := http.NewRequest(http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Authorization", "Bearer "+costKey)
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err == nil && resp.StatusCode != http.StatusOK {
		err = errors.New(string(data))
	}
	return err
}

func processorTime(t testing.TB) time.Duration {
	t.Helper()
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		t.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
