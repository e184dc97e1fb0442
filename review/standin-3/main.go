// Command standin3 plays the cases of the third review: small deployments of the project's
// program with stand-ins for the platform's store, its operator, runners and clients.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// cases play one case each. They return whether the rule held.
var cases = map[string]func(w *world) (held bool, err error){
	"revoked":   revokedCase,
	"evacuated": evacuatedCase,
	"memory":    keptCase,
	"parts":     partsCase,
	"deadly":    deadlyCase,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin3 CASE RECORD")
		os.Exit(2)
	}
	w, err := newWorld(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-stop
		w.close(false)
		os.Exit(2)
	}()
	held, err := cases[os.Args[1]](w)
	keep := os.Getenv("KEEP") != ""
	if keep {
		fmt.Println("logs:", w.dir)
	}
	switch {
	case err != nil:
		for _, n := range w.nodes {
			log, _ := os.ReadFile(n.logPath)
			w.rec.add("log", "%s\n%s", n.name, log[:min(len(log), 4000)])
		}
		w.rec.say("result", "could not run: %v", err)
	case held:
		w.rec.say("result", "the rule held")
	default:
		w.rec.say("result", "the rule was broken")
	}
	w.close(keep)
	switch {
	case err != nil:
		os.Exit(2)
	case !held:
		os.Exit(1)
	}
}
