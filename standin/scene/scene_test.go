package scene_test

import (
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"

	"cicadawell.dev/fleet/fault"
	"cicadawell.dev/standin/endpoint"
	"cicadawell.dev/standin/load"
	"cicadawell.dev/standin/runner"
	"cicadawell.dev/standin/scene"
	"github.com/matryer/is"
)

// buildStandin builds the standin program and returns its path.
func buildStandin(t *testing.T) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "standin")
	out, err := exec.CommandContext(t.Context(), "go", "build", "-o", path, "..").CombinedOutput()
	if err != nil {
		t.Fatalf("build: %v: %s", err, out)
	}
	return path
}

func TestProcessLifecycle(t *testing.T) {
	is := is.New(t)
	bin, dir := buildStandin(t), t.TempDir()
	p, err := scene.StartProcess(t.Context(), dir, "r1", bin,
		"runner", "--id", "r1", "--zone", "z1", "--service", "encode")
	is.NoErr(err)
	is.Equal(p.Ready.Ready, "r1")
	is.NoErr(p.Fault(t.Context(), endpoint.Faults{Refuse: true}))
	p.Signal(syscall.SIGSTOP)
	p.Signal(syscall.SIGCONT)
	var rec runner.Record
	is.NoErr(p.Record(t.Context(), &rec))
	is.Equal(rec.Runner, "r1")
	is.NoErr(p.Stop()) // ends by itself with the exit code 0
	is.True(p.Ended())

	killed, err := scene.StartProcess(t.Context(), dir, "p", bin, "platform")
	is.NoErr(err)
	killed.Kill()
	is.True(killed.Ended())
	is.True(killed.Stop() != nil)
}

func TestProcessThatDoesNotListenIsAnError(t *testing.T) {
	is := is.New(t)
	_, err := scene.StartProcess(t.Context(), t.TempDir(), "bad", buildStandin(t), "runner", "--id", "x")
	is.True(err != nil)
}

func TestCompareOutcomesFindsFalseOutcomes(t *testing.T) {
	is := is.New(t)
	recs := []runner.Record{
		{Runs: []runner.Run{{Team: "t", Key: "ran", Request: "r1"}, {Team: "t", Key: "twice", Request: "r2"}}},
		{Runs: []runner.Run{{Team: "t", Key: "twice", Request: "r3"}, {Team: "u", Key: "none", Request: "r4"}}},
	}
	reported := func(key string, o fault.Outcome, notRun ...string) load.CallOutcome {
		return load.CallOutcome{Team: "t", Key: key, Outcome: o, NotRun: notRun}
	}
	correct := scene.CompareOutcomes(recs, []load.CallOutcome{reported("ran", fault.Run), reported("none", fault.NotRun, "r9")})
	is.NoErr(correct.Err())
	is.Equal(scene.CompareOutcomes(recs, []load.CallOutcome{reported("twice", fault.Unknown)}).RunTwice, 1)
	is.Equal(scene.CompareOutcomes(recs, []load.CallOutcome{reported("none", fault.Run)}).FalseRun, 1) // another team's key
	is.Equal(scene.CompareOutcomes(recs, []load.CallOutcome{reported("ran", fault.NotRun)}).FalseNotRun, 1)
	is.Equal(scene.CompareOutcomes(recs, []load.CallOutcome{reported("ran", fault.Unknown, "r1")}).FalseNotRun, 1)
	replaced := load.CallOutcome{Team: "t", Key: "none", Outcome: fault.NotRun, ReplacedKeys: []string{"ran"}}
	is.Equal(scene.CompareOutcomes(recs, []load.CallOutcome{replaced}).FalseNotRun, 1)
}
