// Command router runs one entry instance of cicadawell. It serves callers,
// operators and other instances.
package main

import (
	"fmt"
	"os"

	"cicadawell.dev/router/entry"
	"cicadawell.dev/router/settings"
	"github.com/alecthomas/kingpin/v2"
)

// version is the version of all programs in the workspace.
const version = "0.1.0"

// Exit codes.
const (
	// exitFailed means that the router could not start, or that it cut off
	// a request.
	exitFailed = 1
	// exitSettings means that the settings file has invalid fields.
	exitSettings = 2
)

func main() {
	app := kingpin.New("router", "An entry instance of cicadawell.")
	app.Version(version)
	app.HelpFlag.Short('h')
	serve := app.Command("serve", "Answer callers, operators and other instances.")
	servePath := serve.Arg("settings", "Settings file, JSON with comments.").Required().String()
	check := app.Command("check", "Check a settings file and do nothing else.")
	checkPath := check.Arg("settings", "Settings file, JSON with comments.").Required().String()
	switch kingpin.MustParse(app.Parse(os.Args[1:])) {
	case serve.FullCommand():
		os.Exit(runServe(*servePath))
	case check.FullCommand():
		os.Exit(runCheck(*checkPath))
	}
}

func runCheck(path string) int {
	if _, err := settings.Read(path); err != nil {
		fmt.Fprintln(os.Stderr, "router:", err)
		return exitSettings
	}
	fmt.Println("settings are good")
	return 0
}

func runServe(path string) int {
	cfg, err := settings.Read(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, "router:", err)
		return exitSettings
	}
	if err := entry.Serve(cfg); err != nil {
		fmt.Fprintln(os.Stderr, "router:", err)
		return exitFailed
	}
	return 0
}
