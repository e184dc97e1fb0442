package entry

import (
	"os"

	"cicadawell.dev/fleet/clock"
	"cicadawell.dev/router/caller"
	"cicadawell.dev/router/catalog"
	"cicadawell.dev/router/deadline"
	"cicadawell.dev/router/demand"
	"cicadawell.dev/router/instance"
	"cicadawell.dev/router/journal"
	"cicadawell.dev/router/ledger"
	"cicadawell.dev/router/loads"
	"cicadawell.dev/router/order"
	"cicadawell.dev/router/peers"
	"cicadawell.dev/router/pipeline"
	"cicadawell.dev/router/platform"
	"cicadawell.dev/router/pool"
	"cicadawell.dev/router/quota"
	"cicadawell.dev/router/retry"
	"cicadawell.dev/router/roll"
	"cicadawell.dev/router/roster"
	"cicadawell.dev/router/runner"
	"cicadawell.dev/router/settings"
	"cicadawell.dev/router/takeout"
	"cicadawell.dev/router/telemetry"
	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/go-hclog"
	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"
)

// constructors provides the components of an instance to fx.
var constructors = fx.Options(
	fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
	fx.Provide(
		clock.System,
		clock.SystemTimers,
		newLogger,
		newLoops,
		newListeners,
		newIdentifiers,
		newJournal,
		telemetry.New,
		newCatalog,
		newStore,
		newInstanceList,
		newMesh,
		newRunners,
		newRoster,
		newRegistry,
		newRollouts,
		newInventory,
		newTakeouts,
		newPools,
		newBudgets,
		newRetries,
		newLimiter,
		newTopology,
		newExecutor,
		newLedger,
		newCallers,
		newFleet,
		newExchange,
		newDemand,
		newOrderDriver,
		newOperators,
	),
)

func newLogger(cfg settings.Settings) hclog.Logger {
	return hclog.New(&hclog.LoggerOptions{
		Name:       cfg.ID,
		Level:      hclog.LevelFromString(cfg.LogLevel),
		Output:     os.Stderr,
		JSONFormat: true,
	})
}

func newJournal(log hclog.Logger, clk clock.Clock) journal.Writer {
	return journal.New(log.Named("journal"), clk)
}

func newCatalog() *catalog.Current { return &catalog.Current{} }

func newStore(cfg settings.Settings, clk clock.Clock, m telemetry.Metrics) platform.Store {
	return platform.NewStore(cfg.Platform.Store, platform.WithObserver(clk, storeMeter{m}.observe))
}

func newInstanceList(cfg settings.Settings, clk clock.Clock, m telemetry.Metrics) platform.InstanceList {
	return platform.NewInstanceList(cfg.Platform.Instances, platform.WithObserver(clk, storeMeter{m}.observe))
}

func newMesh(cfg settings.Settings, clk clock.Clock, log hclog.Logger) instance.Network {
	return instance.New(instance.WithID(cfg.ID), instance.WithClock(clk), instance.WithLogger(log.Named("mesh")))
}

func newRunners(clk clock.Clock) runner.Client { return runner.NewClient(clk) }

func newPools(cfg settings.Settings, clk clock.Clock) pool.Pools {
	options := []pool.Option{pool.WithSeed(xxhash.Sum64String(cfg.ID))}
	switch cfg.Policy {
	case settings.PolicyRoundRobin:
		options = append(options, pool.WithPolicy(pool.PolicyRoundRobin))
	case settings.PolicyLeastReported:
		options = append(options, pool.WithPolicy(pool.PolicyLeastReported))
	case settings.PolicyNoAdmission:
		options = append(options, pool.WithoutAdmission())
	case settings.PolicyNoBudgets:
		options = append(options, pool.WithoutDeadlineChecks())
	}
	return pool.New(clk, options...)
}

func newBudgets(cfg settings.Settings, clk clock.Clock) deadline.Budgets {
	if cfg.Policy == settings.PolicyNoBudgets {
		return deadline.New(clk, deadline.WithoutBudgets())
	}
	return deadline.New(clk)
}

func newRetries(budgets deadline.Budgets) retry.Budget { return retry.New(budgets) }

func newLimiter() quota.Limiter { return quota.New() }

func newRollouts(cfg settings.Settings, store platform.Store, mesh instance.Network, g *registry, clk clock.Clock, log hclog.Logger) roll.Rollouts {
	self := peers.Peer{ID: cfg.ID, Zone: cfg.Zone}
	return roll.New(self, store, mesh, g, clk, log.Named("roll"))
}

func newTakeouts(cfg settings.Settings, store platform.Store, mesh instance.Network, g *registry, i *inventory, clk clock.Clock, log hclog.Logger) takeout.Takeouts {
	self := peers.Peer{ID: cfg.ID, Zone: cfg.Zone}
	return takeout.New(self, store, mesh, g, i, clk, log.Named("takeout"))
}

type executorIn struct {
	fx.In
	Settings    settings.Settings
	Clock       clock.Clock
	Timers      clock.Timers
	Catalog     *catalog.Current
	Pools       pool.Pools
	Budgets     deadline.Budgets
	Retries     retry.Budget
	Runners     runner.Client
	Journal     journal.Writer
	Metrics     telemetry.Metrics
	Identifiers identifiers
}

func newExecutor(in executorIn) pipeline.Executor {
	return pipeline.NewExecutor(pipeline.Parts{
		Instance:    in.Settings.ID,
		Clock:       in.Clock,
		Timers:      in.Timers,
		Catalog:     in.Catalog,
		Slots:       in.Pools,
		TimeBudgets: in.Budgets,
		RetryBudget: in.Retries,
		Runners:     in.Runners,
		Journal:     in.Journal,
		Meter:       stageMeter{in.Metrics},
		Identifiers: in.Identifiers,
	})
}

type ledgerIn struct {
	fx.In
	Settings settings.Settings
	Clock    clock.Clock
	Log      hclog.Logger
	Mesh     instance.Network
	Roster   roster.Roster
	Executor pipeline.Executor
	Journal  journal.Writer
}

func newLedger(in ledgerIn) ledger.ManagedLedger {
	return ledger.New(
		ledger.WithID(in.Settings.ID),
		ledger.WithClock(in.Clock),
		ledger.WithLogger(in.Log.Named("ledger")),
		ledger.WithMesh(in.Mesh),
		ledger.WithRoster(in.Roster),
		ledger.WithExecutor(in.Executor),
		ledger.WithJournal(in.Journal),
	)
}

type exchangeIn struct {
	fx.In
	Settings settings.Settings
	Clock    clock.Clock
	Log      hclog.Logger
	Mesh     instance.Network
	Pools    pool.Pools
	Runners  runner.Client
	Topology *topology
}

func newExchange(in exchangeIn) loads.Exchange {
	return loads.New(loads.Parts{
		Self:    in.Settings.ID,
		Clock:   in.Clock,
		Log:     in.Log.Named("loads"),
		Mesh:    in.Mesh,
		Pools:   in.Pools,
		Runners: in.Runners,
		Fleet:   in.Topology,
	})
}

func newDemand(cfg settings.Settings, clk clock.Clock, log hclog.Logger, mesh instance.Network, limiter quota.Limiter) demand.Exchange {
	return demand.New(demand.Parts{Self: cfg.ID, Clock: clk, Log: log.Named("demand"), Mesh: mesh, Limiter: limiter})
}

func newOrderDriver(store platform.Store, t *topology, j journal.Writer, clk clock.Clock) order.Driver {
	engines := runner.NewOrderClient(order.DefaultLimits().Delivery)
	return order.New(store, engines, t.orderFleet, j, clk)
}

type callersIn struct {
	fx.In
	Settings    settings.Settings
	Clock       clock.Clock
	Rolls       roll.Rollouts
	Takeouts    takeout.Takeouts
	Catalog     *catalog.Current
	Executor    pipeline.Executor
	Ledger      ledger.ManagedLedger
	Quotas      quota.Limiter
	Journal     journal.Writer
	Metrics     telemetry.Metrics
	Identifiers identifiers
	Log         hclog.Logger
}

func newCallers(in callersIn) caller.Server {
	return caller.NewServer(caller.Parts{
		Clock:       in.Clock,
		Readiness:   readiness{in.Rolls, in.Takeouts},
		Catalog:     in.Catalog,
		Executor:    in.Executor,
		Ledger:      in.Ledger,
		RateLimiter: in.Quotas,
		Journal:     in.Journal,
		Meter:       callerMeter{metrics: in.Metrics, zone: in.Settings.Zone},
		Identifiers: in.Identifiers,
		Log:         in.Log.Named("callers"),
	})
}
