// Command standin plays a case of the review: it starts a small deployment of real
// processes, with stand-ins for the platform, the runners and the clients, and exits
// with 1 if the rule of the case was broken, 0 if it held and 2 if it couldn't run.
package main

import (
	"fmt"
	"os"
	"time"
)

var cases = map[string]func(rec *record, trouble bool) (broken bool, err error){}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE FILE")
		os.Exit(2)
	}
	rec := &record{start: time.Now()}
	broken, err := cases[os.Args[1]](rec, os.Getenv("TROUBLE") != "0")
	status, verdict := 0, "the rule held"
	switch {
	case err != nil:
		status, verdict = 2, err.Error()
	case broken:
		status, verdict = 1, "the rule was broken"
	}
	rec.add("%s", verdict)
	if err := rec.write(os.Args[2]); err != nil {
		fmt.Fprintln(os.Stderr, err)
		status = 2
	}
	fmt.Println(verdict)
	os.Exit(status)
}
