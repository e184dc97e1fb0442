package scene

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"sync"
	"time"

	"cicadawell.dev/fleet/bundle"
	"cicadawell.dev/standin/runner"
	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"
)

// balancerLag is how long the callers' load balancer may keep sending calls to a router
// that is shutting down.
const balancerLag = 300 * time.Millisecond

// Fleet is a running fleet.
type Fleet struct {
	Plan     Plan
	Platform *Process
	// Runners is keyed by runner identifier. Routers is in start order; routers whose
	// processes have ended stay in the list.
	Runners map[string]*Process
	Routers []*Process
	// Bundle is the configuration that was rolled out last.
	Bundle bundle.Bundle
	// KeepLogs makes Close leave the folder with the logs in place.
	KeepLogs bool

	bin string
	dir string

	// mu guards Routers and nextRouter while routers are started. Entries are only
	// ever appended to Routers.
	mu sync.Mutex
	// nextRouter is the zero-based number of the next router to start.
	nextRouter int
}

// Start starts a fleet from the programs in the folder bin and rolls out its bundle.
// The caller must end it with Close, also after an error.
func Start(ctx context.Context, bin string, plan Plan) (*Fleet, error) {
	s := &Fleet{Plan: plan, Runners: map[string]*Process{}, bin: bin, Bundle: plan.Bundle()}
	dir, err := os.MkdirTemp("", "cicadawell-scene-")
	if err != nil {
		return s, eris.Wrap(err, "create the folder of the fleet")
	}
	s.dir = dir
	if s.Platform, err = StartProcess(ctx, dir, "platform", s.programPath("standin"), "platform"); err != nil {
		return s, err
	}
	if err := s.startRunners(ctx); err != nil {
		return s, err
	}
	for range plan.Routers {
		if _, err := s.StartRouter(ctx); err != nil {
			return s, err
		}
	}
	return s, s.Roll(ctx)
}

// Dir returns the folder with the settings and the logs.
func (s *Fleet) Dir() string { return s.dir }

func (s *Fleet) programPath(name string) string { return filepath.Join(s.bin, name) }

func (s *Fleet) startRunners(ctx context.Context) error {
	runners := s.Plan.Runners()
	started := make([]*Process, len(runners))
	group, ctx := errgroup.WithContext(ctx)
	for i, r := range runners {
		group.Go(func() error {
			p, err := StartProcess(ctx, s.dir, r.ID, s.programPath("standin"), s.runnerArgs(r)...)
			started[i] = p
			return err
		})
	}
	err := group.Wait()
	for i, p := range started {
		if p == nil {
			continue
		}
		runners[i].Address = p.Address
		s.Runners[runners[i].ID] = p
	}
	s.Bundle.Runners = runners
	return err
}

func (s *Fleet) runnerArgs(r bundle.Runner) []string {
	group := s.Plan.runnerGroup(r.Service)
	args := []string{
		"runner", "--id", r.ID, "--zone", r.Zone, "--service", r.Service,
		"--slots", strconv.Itoa(r.Slots), "--cold-slots", strconv.Itoa(r.ColdSlots),
		"--warmup", r.Warmup().String(), "--latency", fmt.Sprintf("%dms", group.LatencyMillis),
	}
	for _, m := range r.Models {
		args = append(args, "--model", m)
	}
	if group.Engine {
		args = append(args, "--engine")
	}
	if r.ReportsLoad {
		args = append(args, "--reports-load")
	}
	if r.ChecksFencing {
		args = append(args, "--checks-fencing")
	}
	return args
}

// settings is the configuration file of a router.
type settings struct {
	ID     string `json:"id"`
	Zone   string `json:"zone"`
	Policy string `json:"policy,omitempty"`
	Listen struct {
		Callers   string `json:"callers"`
		Operators string `json:"operators"`
		Instances string `json:"instances"`
	} `json:"listen"`
	Platform struct {
		Store     string `json:"store"`
		Instances string `json:"instances"`
		Weights   string `json:"weights"`
	} `json:"platform"`
	Operators   []operator `json:"operators"`
	StopGrace   int64      `json:"stopGraceMillis"`
	BalancerLag int64      `json:"balancerLagMillis"`
	LogLevel    string     `json:"logLevel"`
}

type operator struct {
	Name       string `json:"name"`
	KeyHash    string `json:"keyHash"`
	MayWrite   bool   `json:"mayWrite"`
	MayApprove bool   `json:"mayApprove"`
}

// StartRouter starts another router, in the next zone.
func (s *Fleet) StartRouter(ctx context.Context) (*Process, error) {
	const anyPort = "127.0.0.1:0"
	s.mu.Lock()
	n := s.nextRouter
	s.nextRouter++
	s.mu.Unlock()
	cfg := settings{ID: fmt.Sprintf("router%d", n+1), Zone: zone(n % s.Plan.Zones), Policy: s.Plan.Policy}
	cfg.Listen.Callers, cfg.Listen.Operators, cfg.Listen.Instances = anyPort, anyPort, anyPort
	address := s.Platform.Address
	cfg.Platform.Store, cfg.Platform.Instances, cfg.Platform.Weights = address, address, address
	cfg.Operators = []operator{
		{Name: "operator", KeyHash: bundle.HashKey(OperatorKey), MayWrite: true},
		{Name: "approver", KeyHash: bundle.HashKey(ApproverKey), MayApprove: true},
	}
	cfg.StopGrace = (stopTimeout - time.Second).Milliseconds()
	cfg.BalancerLag = balancerLag.Milliseconds()
	cfg.LogLevel = "info"
	file := filepath.Join(s.dir, cfg.ID+".json")
	if err := writeJSON(file, cfg); err != nil {
		return nil, err
	}
	p, err := StartProcess(ctx, s.dir, cfg.ID, s.programPath("router"), "serve", file)
	if err == nil {
		s.mu.Lock()
		s.Routers = append(s.Routers, p)
		s.mu.Unlock()
	}
	return p, err
}

func writeJSON(file string, v any) error {
	data, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return eris.Wrapf(err, "encode %s", file)
	}
	return eris.Wrap(os.WriteFile(file, data, 0o600), "write")
}

// Ctl runs ctl against the live routers, as the operator who may write and roll out
// bundles, and returns its standard output.
func (s *Fleet) Ctl(ctx context.Context, args ...string) ([]byte, error) {
	return s.ctl(ctx, OperatorKey, args...)
}

func (s *Fleet) ctl(ctx context.Context, key string, args ...string) ([]byte, error) {
	var servers []string
	for _, p := range s.Live() {
		servers = append(servers, "--server", p.Operators)
	}
	cmd := exec.CommandContext(ctx, s.programPath("ctl"), append(servers, args...)...)
	cmd.Env = append(os.Environ(), "CICADAWELL_OPERATOR_KEY="+key)
	out, err := cmd.Output()
	var exit *exec.ExitError
	if errors.As(err, &exit) {
		return out, eris.Wrapf(err, "ctl %v: %s", args, exit.Stderr)
	}
	return out, eris.Wrapf(err, "ctl %v", args)
}

// Roll writes the bundle, signs it off, rolls it out and waits until it is accepted.
func (s *Fleet) Roll(ctx context.Context) error {
	file := filepath.Join(s.dir, "bundle.json")
	if err := writeJSON(file, s.Bundle); err != nil {
		return err
	}
	out, err := s.Ctl(ctx, "--json", "bundle", "write", file)
	if err != nil {
		return err
	}
	var draft struct {
		Version uint64 `json:"version"`
	}
	if err := json.Unmarshal(out, &draft); err != nil {
		return eris.Wrapf(err, "ctl bundle write printed %s", out)
	}
	version := strconv.FormatUint(draft.Version, 10)
	if _, err := s.ctl(ctx, ApproverKey, "bundle", "sign", version); err != nil {
		return err
	}
	if _, err := s.Ctl(ctx, "--wait", stopTimeout.String(), "bundle", "roll", version, "--follow"); err != nil {
		return err
	}
	s.Bundle = s.Bundle.WithVersion(draft.Version)
	return nil
}

// Live returns the routers whose processes have not ended.
func (s *Fleet) Live() []*Process {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(s.Routers), (*Process).Ended)
}

// Records returns the records of all runners, ordered by runner identifier.
func (s *Fleet) Records(ctx context.Context) ([]runner.Record, error) {
	var recs []runner.Record
	for _, id := range slices.Sorted(maps.Keys(s.Runners)) {
		var rec runner.Record
		if err := s.Runners[id].Record(ctx, &rec); err != nil {
			return nil, err
		}
		recs = append(recs, rec)
	}
	return recs, nil
}

// Close stops the routers, then the runners and the platform. It removes the
// folder unless a process failed to stop or KeepLogs is set.
func (s *Fleet) Close() error {
	var errs []error
	for _, p := range s.Live() {
		errs = append(errs, p.Stop())
	}
	var group errgroup.Group
	for _, p := range s.Runners {
		group.Go(p.Stop)
	}
	if s.Platform != nil {
		group.Go(s.Platform.Stop)
	}
	errs = append(errs, group.Wait())
	if err := errors.Join(errs...); err != nil || s.KeepLogs {
		return eris.Wrapf(err, "logs are in %s", s.dir)
	}
	return eris.Wrap(os.RemoveAll(s.dir), "remove the folder of the fleet")
}

// Callers returns the addresses at which the live routers serve callers.
func (s *Fleet) Callers() []string {
	var all []string
	for _, p := range s.Live() {
		all = append(all, p.Address)
	}
	return all
}

// Pipeline returns the pipeline with this identifier, which must exist.
func (s *Fleet) Pipeline(id string) bundle.Pipeline {
	i := slices.IndexFunc(s.Bundle.Pipelines, func(p bundle.Pipeline) bool { return p.ID == id })
	return s.Bundle.Pipelines[i]
}
