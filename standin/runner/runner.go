// Package runner simulates the back ends: encoders, retrievers, rerankers,
// streaming model engines and plain services whose calls must not be retried. It
// records every run with its team and the load at its start.
package runner

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"cicadawell.dev/fleet/clock"
	"cicadawell.dev/fleet/runnerapi"
	"cicadawell.dev/standin/endpoint"
	"github.com/gin-gonic/gin"
)

// Config holds the identity, capacity and behaviour of a runner.
type Config struct {
	ID, Zone, Service, Listen string
	Models                    []string
	// Engine makes the runner generate tokens, as a stream on request.
	// Other runners send one answer after Latency.
	Engine bool
	// Slots is the number of calls that run at once. A cold start lasts
	// Warmup. More than ColdSlots calls at once in cold start are an
	// overload: all running calls fail and the cold start is restarted.
	Slots, ColdSlots int
	Warmup           time.Duration
	StartCold        bool
	// Latency is the nominal duration of one run, or of one token of an
	// engine, with all slots in use. Work runs faster when slots are free.
	Latency time.Duration
	// ReportsLoad adds load reports to the answers. A report is replaced
	// once it is LoadLag old.
	ReportsLoad bool
	LoadLag     time.Duration
	// CachedPrefixes is the capacity of the engine's prefix cache.
	CachedPrefixes int
	// ChecksFencing makes the runner refuse orders with a fencing token
	// lower than that of the last accepted order.
	ChecksFencing bool
}

// Runner serves one simulated back end.
type Runner struct {
	*endpoint.Endpoint
	cfg      Config
	clock    clock.Clock
	perf     *perfModel
	recorder recorder
	// dropBefore and dropAfter are the numbers of further calls whose
	// connection is closed, before the work runs and after; they may be
	// negative.
	dropBefore atomic.Int64
	dropAfter  atomic.Int64

	// cancels maps each attempt in flight to its context.CancelFunc.
	cancels sync.Map

	mu sync.Mutex
	// order is the last accepted order. Before the first one, it holds the
	// configured models.
	order runnerapi.Order
}

// New returns a runner with its routes registered.
func New(cfg Config, clk clock.Clock) *Runner {
	r := &Runner{
		Endpoint: endpoint.New(clk),
		cfg:      cfg,
		clock:    clk,
		perf:     newPerfModel(cfg, clk),
		order:    runnerapi.Order{Models: cfg.Models},
	}
	r.recorder.rec = Record{Runner: cfg.ID, Zone: cfg.Zone, ColdSlots: cfg.ColdSlots}
	r.OnFaults(r.updateFaults)
	r.POST(runnerapi.PathRun, r.handleRun)
	r.POST(runnerapi.PathCancel, r.handleCancel)
	r.POST(runnerapi.PathOrders, r.handleOrder)
	r.GET(runnerapi.PathLoad, r.serveLoad)
	r.GET(runnerapi.PathState, r.serveState)
	r.GET(endpoint.PathRecord, func(c *gin.Context) {
		r.recorder.update(func(rec *Record) { c.JSON(http.StatusOK, rec) })
	})
	return r
}

// Run serves until ctx ends or the process gets SIGTERM or SIGINT.
func (r *Runner) Run(ctx context.Context, w io.Writer) error {
	return r.Serve(ctx, r.cfg.ID, r.cfg.Listen, w)
}

func (r *Runner) updateFaults(f endpoint.Faults) {
	r.dropBefore.Store(f.DropBefore)
	r.dropAfter.Store(f.DropAfter)
	r.perf.setSlowFactor(f.SlowFactor)
	if f.StartColdStart {
		r.perf.startColdStart()
	}
}

func (r *Runner) handleRun(c *gin.Context) {
	var req runnerapi.RunRequest
	if err := c.ShouldBindJSON(&req); err != nil {
		r.refuse(c, http.StatusBadRequest, req, err.Error())
		return
	}
	if r.dropBefore.Add(-1) >= 0 {
		endpoint.CloseConnection(c)
		return
	}
	if r.Faults().Refuse {
		r.refuse(c, http.StatusServiceUnavailable, req, "told to refuse")
		return
	}
	if !r.serves(req.Model) {
		r.refuse(c, http.StatusNotFound, req, "model not loaded")
		return
	}
	output, tokens, err := Output(req.Stage, r.cfg.Engine, req.Input)
	if err != nil {
		r.refuse(c, http.StatusBadRequest, req, err.Error())
		return
	}
	ctx, done := r.attemptContext(c.Request.Context(), req)
	defer done()
	s, err := r.perf.acquire(ctx, req.Priority >= runnerapi.PriorityPaying)
	if err != nil {
		r.refuse(c, http.StatusServiceUnavailable, req, err.Error())
		return
	}
	defer r.perf.release()
	r.runInSlot(ctx, c, &execution{req: req, slot: s, output: output, tokens: tokens})
}

// serves reports whether the model is loaded.
func (r *Runner) serves(model string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return model == "" || slices.Contains(r.order.Models, model)
}

// attemptContext returns the context of an attempt. It is cancelled when the runner
// receives a runnerapi.Cancel for the attempt. A call with an idempotency key must
// not be repeated, so it continues when its connection is lost.
func (r *Runner) attemptContext(ctx context.Context, req runnerapi.RunRequest) (context.Context, func()) {
	if req.IdempotencyKey != "" {
		ctx = context.WithoutCancel(ctx)
	}
	ctx, cancel := context.WithCancel(ctx)
	r.cancels.Store(req.Attempt, cancel)
	return ctx, func() {
		r.cancels.Delete(req.Attempt)
		cancel()
	}
}

// execution is a run that has acquired a slot.
type execution struct {
	req    runnerapi.RunRequest
	slot   slot
	output json.RawMessage
	tokens []string
	// generated is the number of tokens generated so far, cachedTokens the
	// number of prompt tokens found in the prefix cache.
	generated, cachedTokens int
}

// runInSlot runs x, records the run and answers the call.
func (r *Runner) runInSlot(ctx context.Context, c *gin.Context, x *execution) {
	start := r.clock.Now()
	i := r.recorder.begin(Run{
		Attempt: x.req.Attempt, Request: x.req.Request, Team: x.req.Team, Key: x.req.IdempotencyKey,
		Stage: x.req.Stage, From: x.req.From, Priority: x.req.Priority, At: start,
		Load: x.slot.load, Cold: x.slot.cold,
	})
	if r.perf.collapseIfOverloaded(x.slot) {
		r.recorder.update(func(rec *Record) { rec.Collapses++ })
	}
	err := r.execute(ctx, c, x)
	r.recorder.end(i, stateOf(err), r.clock.Now().Sub(start), x.generated)
	if err == nil && r.dropAfter.Add(-1) >= 0 {
		endpoint.CloseConnection(c)
		return
	}
	r.respond(c, x, err)
}

func stateOf(err error) RunState {
	switch {
	case err == nil:
		return Done
	case errors.Is(err, errCollapsed):
		return Failed
	default:
		return Cancelled
	}
}

func (r *Runner) respond(c *gin.Context, x *execution, err error) {
	result := runnerapi.RunResult{
		Attempt: x.req.Attempt, Output: x.output, Tokens: len(x.tokens),
		CachedTokens: x.cachedTokens, Load: r.perf.load(),
	}
	errorResponse := runnerapi.ErrorResponse{Attempt: x.req.Attempt, MayHaveRun: true, Load: r.perf.load()}
	if err != nil {
		errorResponse.Reason = err.Error()
	}
	switch {
	case err != nil && x.req.Stream && c.Writer.Written():
		c.SSEvent(runnerapi.EventError, errorResponse)
	case err != nil:
		c.JSON(http.StatusInternalServerError, errorResponse)
	case x.req.Stream:
		c.SSEvent(runnerapi.EventEnd, result)
	default:
		c.JSON(http.StatusOK, result)
	}
}

func (r *Runner) execute(ctx context.Context, c *gin.Context, x *execution) error {
	if !r.cfg.Engine {
		return r.waitFor(ctx, x, r.cfg.Latency)
	}
	var w Work
	if err := json.Unmarshal(x.req.Input, &w); err != nil {
		return err
	}
	prefill, cached := r.perf.prefill(w.Prefix)
	if cached {
		x.cachedTokens = prefillTokens
	}
	if err := r.waitFor(ctx, x, time.Duration(prefill)*r.cfg.Latency); err != nil {
		return err
	}
	for i, text := range x.tokens {
		if err := r.waitFor(ctx, x, r.cfg.Latency); err != nil {
			return err
		}
		x.generated++
		if x.req.Stream {
			c.SSEvent(runnerapi.EventToken, runnerapi.Token{Attempt: x.req.Attempt, Index: i, Text: text})
			c.Writer.Flush()
		}
	}
	return nil
}

// waitFor waits for the duration of work under the present load, where d is its
// nominal duration. It fails when the cold start collapses or ctx ends.
func (r *Runner) waitFor(ctx context.Context, x *execution, d time.Duration) error {
	select {
	case <-r.clock.After(r.perf.scaledDuration(d)):
		return nil
	case <-x.slot.collapsed:
		return errCollapsed
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (r *Runner) refuse(c *gin.Context, status int, req runnerapi.RunRequest, reason string) {
	r.recorder.update(func(rec *Record) { rec.Refused++ })
	c.JSON(status, runnerapi.ErrorResponse{Attempt: req.Attempt, Reason: reason, Load: r.perf.load()})
}

func (r *Runner) handleCancel(c *gin.Context) {
	req, ok := endpoint.DecodeBody[runnerapi.Cancel](c)
	if !ok {
		return
	}
	if cancel, running := r.cancels.Load(req.Attempt); running {
		cancel.(context.CancelFunc)()
	}
}

func (r *Runner) handleOrder(c *gin.Context) {
	o, ok := endpoint.DecodeBody[runnerapi.Order](c)
	if !ok {
		return
	}
	r.mu.Lock()
	accepted := !r.cfg.ChecksFencing || o.FencingToken >= r.order.FencingToken
	modelsChanged := accepted && !slices.Equal(o.Models, r.order.Models)
	if accepted {
		r.order = o
	}
	r.mu.Unlock()
	r.recorder.update(func(rec *Record) {
		rec.Orders = append(rec.Orders, ReceivedOrder{At: r.clock.Now(), Order: o, Accepted: accepted})
	})
	if modelsChanged {
		r.perf.startColdStart()
	}
	if !accepted {
		c.JSON(http.StatusConflict, runnerapi.ErrorResponse{Reason: "old fencing number"})
		return
	}
	r.serveState(c)
}

func (r *Runner) serveLoad(c *gin.Context) {
	load := r.perf.load()
	if load == nil {
		c.JSON(http.StatusNotFound, runnerapi.ErrorResponse{Reason: "reports no load"})
		return
	}
	c.JSON(http.StatusOK, load)
}

func (r *Runner) serveState(c *gin.Context) {
	r.mu.Lock()
	o := r.order
	r.mu.Unlock()
	state := runnerapi.State{Role: o.Role, Models: o.Models, FencingToken: o.FencingToken}
	if load := r.perf.load(); load != nil {
		state.Load = *load
	}
	c.JSON(http.StatusOK, state)
}
