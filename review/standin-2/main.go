// Command standin runs the cases of the review that are scripts: it starts the project's own
// program as separate processes, stands in for the platform, the runners and the clients, and
// judges what these saw.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
)

// The exit codes of a case.
const (
	held   = 0
	broken = 1
	failed = 2
)

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: standin CASE FOLDER")
		os.Exit(failed)
	}
	cases := map[string]func(c *context) (int, error){
		"late-copies": lateCopies, "prompt-parts": promptParts, "small-fields": smallFields, "part-evictions": partEvictions, "deep-part": deepPart, "shallow-part": shallowPart,
	}
	run := cases[os.Args[1]]
	if run == nil {
		fmt.Fprintf(os.Stderr, "no case %q\n", os.Args[1])
		os.Exit(failed)
	}
	os.Exit(runCase(run, os.Args[2]))
}

// context is what a case works with.
type context struct {
	trouble bool
	dir     string
	record  *record
	// machines are ended with the case.
	machines []*machine
}

func runCase(run func(c *context) (int, error), folder string) int {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	defer os.RemoveAll(dir)
	rec, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	defer rec.close()
	c := &context{trouble: os.Getenv("TROUBLE") != "0", dir: dir, record: rec}
	if keep := os.Getenv("KEEP"); keep != "" {
		c.dir = keep // for the settings and logs of the instances
	}
	defer func() {
		for _, m := range c.machines {
			m.kill()
		}
	}()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	type outcome struct {
		code int
		err  error
	}
	done := make(chan outcome, 1)
	go func() {
		code, err := run(c)
		done <- outcome{code, err}
	}()
	select {
	case o := <-done:
		if o.err != nil {
			rec.say("the case couldn't run: %v", o.err)
			return failed
		}
		return o.code
	case <-stop:
		rec.say("the case was stopped")
		return failed
	}
}
