package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"cicadawell.dev/ctl/client"
	"cicadawell.dev/fleet/clock"
	"github.com/alecthomas/kingpin/v2"
	"github.com/google/uuid"
	"github.com/rotisserie/eris"
)

// version is set by the linker in release builds.
var version = "development"

// keyEnvVar is the environment variable that holds the operator's key.
const keyEnvVar = "CICADAWELL_OPERATOR_KEY"

const help = `The operators' command line of cicadawell.

The operator's key is read from --key-file or from CICADAWELL_OPERATOR_KEY.
Exit codes: 0 done, 1 refused, 2 usage, 3 conflict with another operator,
4 no server reachable, 5 not complete in time, 6 effect not known.`

// Environment holds the streams, environment variables and clock of the process.
type Environment struct {
	Out, Err io.Writer
	In       io.Reader
	Getenv   func(string) string
	Clock    clock.Clock
}

// action runs one command.
type action func(s *session) error

// session is the execution of one command.
type session struct {
	ctx    context.Context
	client *client.Client
	env    Environment
	json   bool
	// followTimeout is the value of --wait: how long --follow waits.
	followTimeout time.Duration
}

// flags are the global flags.
type flags struct {
	servers       []string
	keyFile       string
	json          bool
	followTimeout time.Duration
}

// app is the command-line parser together with the action of each command.
type app struct {
	*kingpin.Application
	flags   flags
	actions map[string]action
	// offline reports, by command name, whether the command runs without an
	// instance and so without a key. Commands that are not listed need both.
	offline map[string]func() bool
}

// commandParent is an application or a command that can have subcommands.
type commandParent interface {
	Command(name, help string) *kingpin.CmdClause
}

// addCommand adds a command to parent; path is its full name.
func (a *app) addCommand(parent commandParent, path, help string, run action) *kingpin.CmdClause {
	a.actions[path] = run
	return parent.Command(path[strings.LastIndexByte(path, ' ')+1:], help)
}

func newApp(env Environment) *app {
	a := &app{Application: kingpin.New("ctl", help), actions: map[string]action{}, offline: map[string]func() bool{}}
	a.Version(version).UsageWriter(env.Out).ErrorWriter(env.Err)
	a.HelpFlag.Short('h')
	a.Flag("server", "Address of an instance for operators; the next one is tried when one does not answer.").
		Default("127.0.0.1:7300").StringsVar(&a.flags.servers)
	a.Flag("key-file", "File with the operator's key.").StringVar(&a.flags.keyFile)
	a.Flag("json", "Print JSON.").BoolVar(&a.flags.json)
	a.Flag("wait", "How long --follow waits.").Default("2m").DurationVar(&a.flags.followTimeout)
	addBundle(a)
	addZone(a)
	addRunner(a)
	addFleet(a)
	addSummary(a)
	addRollouts(a)
	addWhere(a)
	return a
}

// exitRequest is the panic value that carries the exit code from kingpin's
// Terminate hook to Run.
type exitRequest struct{ code int }

// Run parses args, runs the command and returns the exit code.
func Run(ctx context.Context, args []string, env Environment) (code int) {
	defer func() {
		switch p := recover().(type) {
		case nil:
		case exitRequest:
			code = p.code
		default:
			panic(p)
		}
	}()
	a := newApp(env)
	a.Terminate(func(code int) { panic(exitRequest{code: code}) })
	name, err := a.Parse(args)
	if err != nil {
		_, _ = fmt.Fprintf(env.Err, "ctl: %v; try ctl --help\n", err)
		return ExitUsage
	}
	err = a.run(ctx, name, env)
	if err != nil {
		printError(env.Err, err)
	}
	return exitCode(err)
}

func (a *app) run(ctx context.Context, name string, env Environment) error {
	var key string
	if offline := a.offline[name]; offline == nil || !offline() {
		var err error
		if key, err = a.key(env); err != nil {
			return &usageError{cause: err}
		}
	}
	s := &session{
		ctx: ctx, client: client.New(a.flags.servers, key), env: env,
		json: a.flags.json, followTimeout: a.flags.followTimeout,
	}
	return a.actions[name](s)
}

func (a *app) key(env Environment) (string, error) {
	if a.flags.keyFile != "" {
		data, err := os.ReadFile(a.flags.keyFile)
		if err != nil {
			return "", eris.Wrap(err, "--key-file")
		}
		return strings.TrimSpace(string(data)), nil
	}
	if key := strings.TrimSpace(env.Getenv(keyEnvVar)); key != "" {
		return key, nil
	}
	return "", eris.Errorf("no operator's key: give --key-file or set %s", keyEnvVar)
}

// printError prints err and, after a conflict, the current state that caused it.
func printError(w io.Writer, err error) {
	_, _ = fmt.Fprintf(w, "ctl: %v\n", err)
	var refused *client.RefusedError
	if !errors.As(err, &refused) {
		return
	}
	if refused.Bundle != nil {
		_, _ = fmt.Fprintln(w, "ctl: nothing was lost; this stands now:")
		_ = printBundle(w, *refused.Bundle)
	}
	if t := refused.Takeout; t != nil {
		_, _ = fmt.Fprintf(w, "ctl: order in force: generation %d, %s, by %s: %s\n",
			t.Generation, outOrIn(t.Out), t.By, t.Reason)
	}
}

// print prints v as JSON if --json is set, and otherwise calls printText.
func (s *session) print(v any, printText func(w io.Writer) error) error {
	if !s.json {
		return printText(s.env.Out)
	}
	e := json.NewEncoder(s.env.Out)
	e.SetIndent("", "  ")
	if err := e.Encode(v); err != nil {
		return eris.Wrap(err, "print JSON")
	}
	return nil
}

// printProgress prints a progress line to the error stream.
func (s *session) printProgress(format string, args ...any) {
	_, _ = fmt.Fprintf(s.env.Err, format+"\n", args...)
}

// newID returns an identifier that all retries of one call share.
func newID() (string, error) {
	id, err := uuid.NewV7()
	if err != nil {
		return "", eris.Wrap(err, "generate identifier")
	}
	return id.String(), nil
}
