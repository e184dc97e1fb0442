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

// version is set by the linker in releases.
var version = "development"

// keyVariable is the environment variable that holds the operator's key.
const keyVariable = "CICADAWELL_OPERATOR_KEY"

const help = `The operators' command line of cicadawell.

The operator's key is read from --key-file or from CICADAWELL_OPERATOR_KEY.
Exit codes: 0 done, 1 refused, 2 usage, 3 conflict with another operator,
4 no server reachable, 5 not complete in time, 6 effect not known.`

// Environment is what the command line takes from its process.
type Environment struct {
	Out, Err io.Writer
	In       io.Reader
	Getenv   func(string) string
	Clock    clock.Clock
}

// action runs one command.
type action func(s *session) error

// session is one run of a command.
type session struct {
	ctx    context.Context
	client *client.Client
	env    Environment
	json   bool
	// patience is how long --follow waits.
	patience time.Duration
}

// flags are those that all commands share.
type flags struct {
	servers  []string
	keyFile  string
	json     bool
	patience time.Duration
}

// app is the command line with the commands' actions.
type app struct {
	*kingpin.Application
	flags   flags
	actions map[string]action
	// local tells, for some commands, whether they do without an instance.
	local map[string]func() bool
}

// command is one that can hold others.
type command interface {
	Command(name, help string) *kingpin.CmdClause
}

// on adds a command to parent; path is its full name.
func (a *app) on(parent command, path, help string, do action) *kingpin.CmdClause {
	a.actions[path] = do
	return parent.Command(path[strings.LastIndexByte(path, ' ')+1:], help)
}

func newApp(env Environment) *app {
	a := &app{Application: kingpin.New("ctl", help), actions: map[string]action{}, local: map[string]func() bool{}}
	a.Version(version).UsageWriter(env.Out).ErrorWriter(env.Err)
	a.HelpFlag.Short('h')
	a.Flag("server", "Address of an instance for operators; the next one is tried when one does not answer.").
		Default("127.0.0.1:7300").StringsVar(&a.flags.servers)
	a.Flag("key-file", "File with the operator's key.").StringVar(&a.flags.keyFile)
	a.Flag("json", "Print JSON.").BoolVar(&a.flags.json)
	a.Flag("wait", "How long --follow waits.").Default("2m").DurationVar(&a.flags.patience)
	addBundle(a)
	addZone(a)
	addRunner(a)
	addFleet(a)
	addSummary(a)
	return a
}

// ended is how kingpin's wish to end the process reaches Run.
type ended struct{ code int }

// Run parses args, runs the command and returns the exit code.
func Run(ctx context.Context, args []string, env Environment) (code int) {
	defer func() {
		switch p := recover().(type) {
		case nil:
		case ended:
			code = p.code
		default:
			panic(p)
		}
	}()
	a := newApp(env)
	a.Terminate(func(code int) { panic(ended{code: code}) })
	name, err := a.Parse(args)
	if err != nil {
		_, _ = fmt.Fprintf(env.Err, "ctl: %v; try ctl --help\n", err)
		return ExitUsage
	}
	err = a.run(ctx, name, env)
	if err != nil {
		report(env.Err, err)
	}
	return exitCode(err)
}

func (a *app) run(ctx context.Context, name string, env Environment) error {
	var key string
	if local := a.local[name]; local == nil || !local() {
		var err error
		if key, err = a.key(env); err != nil {
			return &usageError{cause: err}
		}
	}
	s := &session{
		ctx: ctx, client: client.New(a.flags.servers, key), env: env,
		json: a.flags.json, patience: a.flags.patience,
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
	if key := strings.TrimSpace(env.Getenv(keyVariable)); key != "" {
		return key, nil
	}
	return "", eris.Errorf("no operator's key: give --key-file or set %s", keyVariable)
}

// report prints err and, after a conflict, what stands in the way.
func report(w io.Writer, err error) {
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
		_, _ = fmt.Fprintf(w, "ctl: the order that stands: generation %d, %s, by %s: %s\n",
			t.Generation, outOrIn(t.Out), t.By, t.Reason)
	}
}

// print prints v as JSON, or calls people.
func (s *session) print(v any, people func(w io.Writer) error) error {
	if !s.json {
		return people(s.env.Out)
	}
	e := json.NewEncoder(s.env.Out)
	e.SetIndent("", "  ")
	if err := e.Encode(v); err != nil {
		return eris.Wrap(err, "print JSON")
	}
	return nil
}

// note prints a line of progress for people.
func (s *session) note(format string, args ...any) {
	_, _ = fmt.Fprintf(s.env.Err, format+"\n", args...)
}

// newID returns the identifier that repeats of one call share.
func newID() (string, error) {
	id, err := uuid.NewV7()
	if err != nil {
		return "", eris.Wrap(err, "mint identifier")
	}
	return id.String(), nil
}
