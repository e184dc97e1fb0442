// Command standin runs small stand-ins for the platform and the runners, and the
// tools that test and measure the system against them.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"cicadawell.dev/fleet/clock"
	"cicadawell.dev/standin/capacity"
	"cicadawell.dev/standin/demo"
	"cicadawell.dev/standin/load"
	"cicadawell.dev/standin/measure"
	"cicadawell.dev/standin/platform"
	"cicadawell.dev/standin/runner"
	"cicadawell.dev/standin/soak"
	"github.com/alecthomas/kingpin/v2"
)

// version is the version of all programs of the workspace.
const version = "0.1.0"

func main() {
	app := kingpin.New("standin", "Stand-ins for the platform and the runners, and tools to test and measure the system.")
	app.Version(version)
	actions := map[string]func(context.Context) error{}
	addPlatform(app, actions)
	addRunner(app, actions)
	addLoad(app, actions)
	addDemo(app, actions)
	addMeasure(app, actions)
	addCapacity(app, actions)
	addSoak(app, actions)
	name := kingpin.MustParse(app.Parse(os.Args[1:]))
	if err := actions[name](context.Background()); err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		os.Exit(1)
	}
}

func addPlatform(app *kingpin.Application, actions map[string]func(context.Context) error) {
	var cfg platform.Config
	cmd := app.Command("platform", "Serve a simulated key-value service, list of instances and weight store.")
	cmd.Flag("listen", "Address to listen at.").Default("127.0.0.1:0").StringVar(&cfg.Listen)
	cmd.Flag("list-lag", "Age of the published list of instances.").Default("2s").DurationVar(&cfg.ListLag)
	cmd.Flag("reads", "Limit of reads per second of the key-value service; 0 is no limit.").Default("2000").Float64Var(&cfg.ReadsPerSecond)
	cmd.Flag("writes", "Limit of writes per second of the key-value service; 0 is no limit.").Default("400").Float64Var(&cfg.WritesPerSecond)
	cmd.Flag("weights", "Limit of loads per second of the weight store; 0 is no limit.").Default("2").Float64Var(&cfg.WeightsPerSecond)
	actions[cmd.FullCommand()] = func(ctx context.Context) error {
		return platform.New(cfg, clock.System()).Run(ctx, os.Stdout)
	}
}

func addRunner(app *kingpin.Application, actions map[string]func(context.Context) error) {
	var cfg runner.Config
	cmd := app.Command("runner", "Serve one simulated encoder, retriever, reranker, model engine or plain service.")
	cmd.Flag("id", "Identifier.").Required().StringVar(&cfg.ID)
	cmd.Flag("zone", "Availability zone.").Required().StringVar(&cfg.Zone)
	cmd.Flag("service", "Service.").Required().StringVar(&cfg.Service)
	cmd.Flag("listen", "Address to listen at.").Default("127.0.0.1:0").StringVar(&cfg.Listen)
	cmd.Flag("model", "Loaded model; may be repeated.").StringsVar(&cfg.Models)
	cmd.Flag("engine", "Generate tokens.").BoolVar(&cfg.Engine)
	cmd.Flag("slots", "Number of calls that run at once.").Default("8").IntVar(&cfg.Slots)
	cmd.Flag("cold-slots", "Number of calls at once in cold start above which the cold start is restarted.").Default("2").IntVar(&cfg.ColdSlots)
	cmd.Flag("warmup", "Duration of a cold start.").Default("2s").DurationVar(&cfg.Warmup)
	cmd.Flag("start-cold", "Begin in cold start.").BoolVar(&cfg.StartCold)
	cmd.Flag("latency", "Duration of one run, or of one token of an engine.").Default("10ms").DurationVar(&cfg.Latency)
	cmd.Flag("reports-load", "Add load reports to the answers.").BoolVar(&cfg.ReportsLoad)
	cmd.Flag("load-lag", "Age at which a load report is replaced.").Default("500ms").DurationVar(&cfg.LoadLag)
	cmd.Flag("cached-prefixes", "Capacity of the engine's prefix cache.").Default("32").IntVar(&cfg.CachedPrefixes)
	cmd.Flag("checks-fencing", "Refuse orders with an old fencing number.").BoolVar(&cfg.ChecksFencing)
	actions[cmd.FullCommand()] = func(ctx context.Context) error {
		return runner.New(cfg, clock.System()).Run(ctx, os.Stdout)
	}
}

func addLoad(app *kingpin.Application, actions map[string]func(context.Context) error) {
	cfg := load.Config{Clock: clock.System()}
	var routers []string
	var file string
	cmd := app.Command("load", "Send calls in an open loop, and print the callers' results as JSON.")
	cmd.Arg("mix", "JSON file with comments: classes, bursts, keys.").Required().StringVar(&file)
	cmd.Flag("router", "Address of a router for callers; may be repeated.").Required().StringsVar(&routers)
	cmd.Flag("duration", "Duration of the arrivals.").Default("10s").DurationVar(&cfg.Duration)
	cmd.Flag("seed", "Seed of the arrivals.").Default("1").Uint64Var(&cfg.Seed)
	actions[cmd.FullCommand()] = func(ctx context.Context) error {
		mix, err := load.ReadMix(file)
		if err != nil {
			return err
		}
		cfg.Classes, cfg.Bursts = mix.Classes, mix.Bursts
		cfg.Key = func(team string) string { return mix.Keys[team] }
		cfg.Routers = func() []string { return routers }
		return json.NewEncoder(os.Stdout).Encode(load.Run(ctx, cfg))
	}
}

func addDemo(app *kingpin.Application, actions map[string]func(context.Context) error) {
	cfg := demo.Config{Out: os.Stdout, Clock: clock.System()}
	cmd := app.Command("demo", "Start a small fleet, send traffic, kill an instance and check every answer.")
	cmd.Flag("bin", "Folder with the programs router, ctl and standin.").Default("bin").StringVar(&cfg.Bin)
	cmd.Flag("seed", "Seed of the traffic.").Default("1").Uint64Var(&cfg.Seed)
	actions[cmd.FullCommand()] = func(ctx context.Context) error {
		ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
		defer stop()
		return demo.Run(ctx, cfg)
	}
}

func addMeasure(app *kingpin.Application, actions map[string]func(context.Context) error) {
	cfg := measure.Config{Out: os.Stdout, Clock: clock.System()}
	cmd := app.Command("measure", "Measure a scenario of load and faults, with all policies in the same run.")
	cmd.Arg("scenario", "Scenario.").Required().EnumVar(&cfg.Scenario, measure.Names()...)
	cmd.Flag("size", "Size of the fleet.").Default("taxiline").EnumVar(&cfg.Size, "demo", "taxiline", "loimekoda")
	cmd.Flag("bin", "Folder with the programs router, ctl and standin.").Default("bin").StringVar(&cfg.Bin)
	cmd.Flag("dir", "Folder for the tables and plots.").Default("docs/measure").StringVar(&cfg.Dir)
	cmd.Flag("seed", "Seed of the traffic.").Default("1").Uint64Var(&cfg.Seed)
	actions[cmd.FullCommand()] = func(ctx context.Context) error {
		ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
		defer stop()
		return measure.Run(ctx, cfg)
	}
}

func addCapacity(app *kingpin.Application, actions map[string]func(context.Context) error) {
	cfg := capacity.Config{Out: os.Stdout, Clock: clock.System()}
	cmd := app.Command("capacity", "Measure the overhead of idle routers at several sizes of the fleet.")
	cmd.Flag("bin", "Folder with the programs router, ctl and standin.").Default("bin").StringVar(&cfg.Bin)
	cmd.Flag("routers", "Number of routers; may be repeated.").Default("5", "15", "30").IntsVar(&cfg.Sizes)
	actions[cmd.FullCommand()] = func(ctx context.Context) error {
		ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
		defer stop()
		return capacity.Run(ctx, cfg)
	}
}

func addSoak(app *kingpin.Application, actions map[string]func(context.Context) error) {
	cfg := soak.Config{Out: os.Stdout, Clock: clock.System()}
	seeds := 1
	cmd := app.Command("soak", "Run seeded plans of overlapping faults against a fleet under traffic, and check its guarantees.")
	cmd.Flag("bin", "Folder with the programs router, ctl and standin.").Default("bin").StringVar(&cfg.Bin)
	cmd.Flag("seed", "Seed of the first plan.").Default("1").Uint64Var(&cfg.Seed)
	cmd.Flag("seeds", "Number of seeds to run, one after the other.").Default("1").IntVar(&seeds)
	cmd.Flag("for", "Time during which faults are started.").Default("15s").DurationVar(&cfg.Faults)
	cmd.Flag("size", "Size of the fleet.").Default("demo").EnumVar(&cfg.Size, "demo", "taxiline", "loimekoda")
	cmd.Flag("routers", "Number of routers; 0 is the default of the size.").Default("4").IntVar(&cfg.Routers)
	actions[cmd.FullCommand()] = func(ctx context.Context) error {
		ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
		defer stop()
		return soak.RunAll(ctx, cfg, seeds)
	}
}
