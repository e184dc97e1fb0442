// Package entry wires up an entry instance: its components and the order in
// which they start and stop.
package entry

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"

	"cicadawell.dev/fleet/clock"
	"cicadawell.dev/router/caller"
	"cicadawell.dev/router/catalog"
	"cicadawell.dev/router/demand"
	"cicadawell.dev/router/instance"
	"cicadawell.dev/router/journal"
	"cicadawell.dev/router/ledger"
	"cicadawell.dev/router/loads"
	"cicadawell.dev/router/order"
	"cicadawell.dev/router/pipeline"
	"cicadawell.dev/router/pool"
	"cicadawell.dev/router/quota"
	"cicadawell.dev/router/roll"
	"cicadawell.dev/router/roster"
	"cicadawell.dev/router/runner"
	"cicadawell.dev/router/settings"
	"cicadawell.dev/router/takeout"
	"cicadawell.dev/router/telemetry"
	"github.com/hashicorp/go-hclog"
	"go.uber.org/fx"
)

// entry holds the components of an instance and starts and stops them in order.
type entry struct {
	fx.In
	Settings  settings.Settings
	Clock     clock.Clock
	Log       hclog.Logger
	Loops     *loops
	Listeners *listeners
	Journal   journal.Writer
	Metrics   telemetry.Metrics
	Catalog   *catalog.Current
	Mesh      instance.Network
	Roster    roster.Roster
	Registry  *registry
	Rolls     roll.Rollouts
	Takeouts  takeout.Takeouts
	Orders    order.Driver
	Topology  *topology
	Pools     pool.Pools
	Ledger    ledger.ManagedLedger
	Executor  pipeline.Executor
	Runners   runner.Client
	Fleet     *fleet
	Exchange  loads.Exchange
	Demand    demand.Exchange
	Callers   caller.Server
	Operators operators
}

func newTopology(cfg settings.Settings, c *catalog.Current, takeouts takeout.Takeouts, r roster.Roster, pools pool.Pools, limiter quota.Limiter, clk clock.Clock) *topology {
	t := &topology{cfg: cfg, catalog: c, takeouts: takeouts, roster: r, pools: pools, limiter: limiter, clk: clk}
	r.Subscribe(t.update)
	return t
}

// start registers the instance, loads the bundle in force and only then serves
// callers.
func (e entry) start(ctx context.Context) error {
	e.Fleet.handle()
	e.Metrics.RegisterPools(e.Pools.Status)
	e.Metrics.RegisterGauge("cicadawell_bundle_version", func() float64 { return float64(e.Catalog.Version()) })
	e.Rolls.Subscribe(e.Topology.applyBundle)
	e.Takeouts.Subscribe(func(*takeout.Set) { e.Topology.update() })
	if err := e.Mesh.Start(e.Loops.ctx); err != nil {
		return err
	}
	e.Loops.start("mesh", func(context.Context) error { return e.Mesh.Serve(e.Listeners.instances) })
	e.Loops.start("journal", e.Journal.Run)
	e.Loops.start("roster", e.Roster.Run)
	e.Loops.start("list", e.Registry.pollList)
	if err := e.Registry.awaitRegistration(ctx, e.Settings.ID); err != nil {
		return err
	}
	if err := e.Rolls.Start(ctx); err != nil {
		return err
	}
	e.Loops.start("rolls", e.Rolls.Run)
	if err := e.Takeouts.Start(ctx); err != nil {
		return err
	}
	e.Loops.start("takeouts", e.Takeouts.Run)
	e.Loops.start("orders", e.Orders.Run)
	e.Loops.start("loads", e.Exchange.Run)
	e.Loops.start("demand", e.Demand.Run)
	e.Loops.start("topology", e.Topology.extendPeriodically)
	e.Loops.start("operators", func(context.Context) error { return serveHTTPOn(e.Operators.Server, e.Listeners.operators) })
	e.Loops.start("callers", func(context.Context) error { return e.Callers.Serve(e.Listeners.callers) })
	return e.Listeners.announce(os.Stdout, e.Settings.ID)
}

func serveHTTPOn(s *http.Server, l net.Listener) error {
	if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// stop drains the instance without cutting off a request. It asks callers to
// close their connections, leaves the membership view and hands its idempotency
// keys over to other instances. Meanwhile it serves the requests that the load
// balancer still sends, for at least the balancer lag. Then it waits for the
// requests in flight.
func (e entry) stop(ctx context.Context) error {
	e.Log.Info("shutting down", "underWay", e.Callers.InFlight())
	e.Callers.StartDraining()
	lag := e.Clock.After(e.Settings.BalancerLag())
	e.leaveView(ctx)
	<-lag
	e.Loops.allowExit()
	err := e.Callers.Shutdown(ctx)
	e.Executor.Close()
	e.Ledger.Close()
	err = errors.Join(err, e.Operators.Shutdown(ctx))
	e.Loops.cancel()
	err = errors.Join(err, e.Mesh.Close())
	err = errors.Join(err, e.Loops.stop())
	e.Runners.Close()
	e.Log.Info("shutdown complete", "error", err)
	return err
}

// leaveView leaves the membership view and hands the idempotency keys over. It
// takes at most half of the stop grace period. During a store outage no instance can
// leave; this cuts off no request, and the other instances then don't know the
// keys of this instance, as after a crash.
func (e entry) leaveView(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, e.Settings.StopGrace()/2)
	defer cancel()
	if err := e.Roster.Leave(ctx); err != nil {
		e.Log.Warn("failed to leave the membership view", "error", err)
		return
	}
	if err := e.Ledger.Leave(ctx); err != nil {
		e.Log.Warn("keys not handed over", "error", err)
	}
}

// Serve runs an instance until it receives a termination signal. It returns an
// error when the instance could not start, could not shut down cleanly, for
// example because it cut off a request, or stopped with a nonzero exit code.
func Serve(cfg settings.Settings) error {
	app := fx.New(
		constructors,
		fx.Supply(cfg),
		fx.StopTimeout(cfg.StopGrace()),
		fx.StartTimeout(cfg.StopGrace()),
		fx.Invoke(func(lc fx.Lifecycle, e entry) {
			lc.Append(fx.Hook{OnStart: e.start, OnStop: e.stop})
		}),
	)
	if err := app.Start(context.Background()); err != nil {
		return err
	}
	signal := <-app.Wait()
	ctx, cancel := context.WithTimeout(context.Background(), cfg.StopGrace())
	defer cancel()
	if err := app.Stop(ctx); err != nil {
		return err
	}
	if signal.ExitCode != 0 {
		return errors.New("stopped after a failure")
	}
	return nil
}
