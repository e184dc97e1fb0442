// Command ctl is the command line for operators. It writes, signs off and rolls
// bundles, takes zones and runners out, and explains requests.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"cicadawell.dev/fleet/clock"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := Run(ctx, os.Args[1:], Environment{
		Out: os.Stdout, Err: os.Stderr, In: os.Stdin,
		Getenv: os.Getenv, Clock: clock.System(),
	})
	stop()
	os.Exit(code)
}
