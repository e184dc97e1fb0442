// Package runner stands in for the back ends: encoders, retrievers, rerankers,
// streaming model engines and plain services whose calls may not be repeated.
// It records what it ran, for whom and at which load.
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

// Config is what a runner is and bears.
type Config struct {
	ID, Zone, Service, Listen string
	Models                    []string
	// Engine generates tokens, in a stream where asked; other runners
	// answer once after Latency.
	Engine bool
	// Slots is how much work runs at once, ColdSlots how much the runner
	// bears in cold start, which lasts Warmup.
	Slots, ColdSlots int
	Warmup           time.Duration
	StartCold        bool
	// Latency is the time of one run of an idle runner, or of one token of
	// an engine.
	Latency time.Duration
	// ReportsLoad adds load reports to the answers, which LoadLag lets age.
	ReportsLoad bool
	LoadLag     time.Duration
	// CachedPrefixes is how many prefixes the engine's cache holds.
	CachedPrefixes int
	// ChecksFencing refuses orders with an old fencing number.
	ChecksFencing bool
}

// Runner serves one back end.
type Runner struct {
	*endpoint.Endpoint
	cfg        Config
	clock      clock.Clock
	model      *model
	recorder   recorder
	dropBefore atomic.Int64
	dropAfter  atomic.Int64

	// cancels has a context.CancelFunc for each attempt in flight.
	cancels sync.Map

	mu sync.Mutex
	// order is the last accepted one.
	order runnerapi.Order
}

// New returns the runner with its routes set.
func New(cfg Config, clk clock.Clock) *Runner {
	r := &Runner{
		Endpoint: endpoint.New(clk),
		cfg:      cfg,
		clock:    clk,
		model:    newModel(cfg, clk),
		order:    runnerapi.Order{Models: cfg.Models},
	}
	r.recorder.rec = Record{Runner: cfg.ID, Zone: cfg.Zone, ColdSlots: cfg.ColdSlots}
	r.OnFaults(r.takeFaults)
	r.POST(runnerapi.PathRun, r.run)
	r.POST(runnerapi.PathCancel, r.cancel)
	r.POST(runnerapi.PathOrders, r.takeOrder)
	r.GET(runnerapi.PathLoad, r.serveLoad)
	r.GET(runnerapi.PathState, r.serveState)
	r.GET(endpoint.PathRecord, func(c *gin.Context) {
		r.recorder.note(func(rec *Record) { c.JSON(http.StatusOK, rec) })
	})
	return r
}

// Run serves until ctx ends or the process is told to stop.
func (r *Runner) Run(ctx context.Context, w io.Writer) error {
	return r.Serve(ctx, r.cfg.ID, r.cfg.Listen, w)
}

func (r *Runner) takeFaults(f endpoint.Faults) {
	r.dropBefore.Store(f.DropBefore)
	r.dropAfter.Store(f.DropAfter)
	r.model.setSlow(f.SlowFactor)
	if f.TurnCold {
		r.model.turnCold()
	}
}

func (r *Runner) run(c *gin.Context) {
	var req runnerapi.RunRequest
	if err := c.ShouldBindJSON(&req); err != nil {
		r.refuse(c, http.StatusBadRequest, req, err.Error())
		return
	}
	if r.dropBefore.Add(-1) >= 0 {
		endpoint.Drop(c)
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
	ctx, done := r.attempt(c.Request.Context(), req)
	defer done()
	s, err := r.model.enter(ctx, req.Priority >= runnerapi.PriorityPaying)
	if err != nil {
		r.refuse(c, http.StatusServiceUnavailable, req, err.Error())
		return
	}
	defer r.model.leave()
	r.hold(ctx, c, &execution{req: req, slot: s, output: output, tokens: tokens})
}

// serves reports whether the model is loaded.
func (r *Runner) serves(model string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return model == "" || slices.Contains(r.order.Models, model)
}

// attempt returns the context of an attempt, which Cancel ends. A call that
// may not be repeated goes on when its connection is lost.
func (r *Runner) attempt(ctx context.Context, req runnerapi.RunRequest) (context.Context, func()) {
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

// execution is a run in its slot.
type execution struct {
	req    runnerapi.RunRequest
	slot   slot
	output json.RawMessage
	tokens []string
	// sent is how many tokens were made, cached how many of the prompt's
	// came from the cache.
	sent, cached int
}

// hold runs x in its slot, records it and answers.
func (r *Runner) hold(ctx context.Context, c *gin.Context, x *execution) {
	start := r.clock.Now()
	i := r.recorder.begin(Run{
		Attempt: x.req.Attempt, Request: x.req.Request, Team: x.req.Team, Key: x.req.IdempotencyKey,
		Stage: x.req.Stage, From: x.req.From, Priority: x.req.Priority, At: start,
		Load: x.slot.load, Cold: x.slot.cold,
	})
	if r.model.overload(x.slot) {
		r.recorder.note(func(rec *Record) { rec.Collapses++ })
	}
	err := r.execute(ctx, c, x)
	r.recorder.end(i, endingOf(err), r.clock.Now().Sub(start), x.sent)
	if err == nil && r.dropAfter.Add(-1) >= 0 {
		endpoint.Drop(c)
		return
	}
	r.answer(c, x, err)
}

func endingOf(err error) Ending {
	switch {
	case err == nil:
		return Done
	case errors.Is(err, errCollapsed):
		return Failed
	default:
		return Cancelled
	}
}

func (r *Runner) answer(c *gin.Context, x *execution, err error) {
	result := runnerapi.RunResult{
		Attempt: x.req.Attempt, Output: x.output, Tokens: len(x.tokens),
		CachedTokens: x.cached, Load: r.model.load(),
	}
	refusal := runnerapi.ErrorResponse{Attempt: x.req.Attempt, MayHaveRun: true, Load: r.model.load()}
	if err != nil {
		refusal.Reason = err.Error()
	}
	switch {
	case err != nil && x.req.Stream && c.Writer.Written():
		c.SSEvent(runnerapi.EventError, refusal)
	case err != nil:
		c.JSON(http.StatusInternalServerError, refusal)
	case x.req.Stream:
		c.SSEvent(runnerapi.EventEnd, result)
	default:
		c.JSON(http.StatusOK, result)
	}
}

func (r *Runner) execute(ctx context.Context, c *gin.Context, x *execution) error {
	if !r.cfg.Engine {
		return r.pass(ctx, x, r.cfg.Latency)
	}
	var w Work
	if err := json.Unmarshal(x.req.Input, &w); err != nil {
		return err
	}
	prefill, cached := r.model.prefill(w.Prefix)
	if cached {
		x.cached = prefillTokens
	}
	if err := r.pass(ctx, x, time.Duration(prefill)*r.cfg.Latency); err != nil {
		return err
	}
	for i, text := range x.tokens {
		if err := r.pass(ctx, x, r.cfg.Latency); err != nil {
			return err
		}
		x.sent++
		if x.req.Stream {
			c.SSEvent(runnerapi.EventToken, runnerapi.Token{Attempt: x.req.Attempt, Index: i, Text: text})
			c.Writer.Flush()
		}
	}
	return nil
}

// pass lets work of length d take its time under the load of now.
func (r *Runner) pass(ctx context.Context, x *execution, d time.Duration) error {
	select {
	case <-r.clock.After(r.model.stretch(d)):
		return nil
	case <-x.slot.collapsed:
		return errCollapsed
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (r *Runner) refuse(c *gin.Context, status int, req runnerapi.RunRequest, reason string) {
	r.recorder.note(func(rec *Record) { rec.Refused++ })
	c.JSON(status, runnerapi.ErrorResponse{Attempt: req.Attempt, Reason: reason, Load: r.model.load()})
}

func (r *Runner) cancel(c *gin.Context) {
	req, ok := endpoint.Bind[runnerapi.Cancel](c)
	if !ok {
		return
	}
	if cancel, running := r.cancels.Load(req.Attempt); running {
		cancel.(context.CancelFunc)()
	}
}

func (r *Runner) takeOrder(c *gin.Context) {
	o, ok := endpoint.Bind[runnerapi.Order](c)
	if !ok {
		return
	}
	r.mu.Lock()
	accepted := !r.cfg.ChecksFencing || o.FencingToken >= r.order.FencingToken
	loads := accepted && !slices.Equal(o.Models, r.order.Models)
	if accepted {
		r.order = o
	}
	r.mu.Unlock()
	r.recorder.note(func(rec *Record) {
		rec.Orders = append(rec.Orders, Ordered{At: r.clock.Now(), Order: o, Accepted: accepted})
	})
	if loads {
		r.model.turnCold()
	}
	if !accepted {
		c.JSON(http.StatusConflict, runnerapi.ErrorResponse{Reason: "old fencing number"})
		return
	}
	r.serveState(c)
}

func (r *Runner) serveLoad(c *gin.Context) {
	load := r.model.load()
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
	if load := r.model.load(); load != nil {
		state.Load = *load
	}
	c.JSON(http.StatusOK, state)
}
