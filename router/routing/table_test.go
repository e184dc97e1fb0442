package routing_test

import (
	"os"
	"strings"
	"testing"

	"cicadawell.dev/fleet/fault"
	"cicadawell.dev/router/routing"
	"github.com/matryer/is"
)

func table(t *testing.T, cfg routing.Config) *routing.Table {
	t.Helper()
	out, err := routing.NewTable(cfg)
	is.New(t).NoErr(err)
	return out
}

func route(name, host, prefix string) routing.Route {
	return routing.Route{Name: name, Host: host, Prefix: prefix, Shares: []routing.Share{{Service: "s", Weight: 1}}}
}

var services = []routing.Service{{Name: "s"}, {Name: "pieces", Batches: &routing.Batches{MaxPieces: 1}}}

func TestMatchTakesTheLongestPrefix(t *testing.T) {
	tab := table(t, routing.Config{Services: services, Routes: []routing.Route{
		route("x", "a.example", "/x/"), route("xy", "a.example", "/x/y/"), route("bx", "b.example", "/x/"),
	}})
	text, err := os.ReadFile("testdata/match.txt")
	is.New(t).NoErr(err)
	for line := range strings.Lines(string(text)) {
		left, want, ok := strings.Cut(strings.TrimSpace(line), " -> ")
		if !ok {
			continue
		}
		t.Run(left, func(t *testing.T) {
			host, path, _ := strings.Cut(left, " ")
			got := "-"
			if r := tab.Match(host, path); r != nil {
				got = r.Name
			}
			is.New(t).Equal(got, want)
		})
	}
}

func TestTableNamesTheBadRoute(t *testing.T) {
	bad := route("r", "a", "/")
	for name, change := range map[string]func(*routing.Route){
		"no service":           func(r *routing.Route) { r.Shares = nil },
		"unknown service":      func(r *routing.Route) { r.Shares[0].Service = "other" },
		"stage without pieces": func(r *routing.Route) { r.Stages = []routing.Stage{{Service: "s"}} },
		"stage after itself":   func(r *routing.Route) { r.Stages = []routing.Stage{{Service: "pieces", After: []int{0}}} },
		"stage after a later one": func(r *routing.Route) {
			r.Stages = []routing.Stage{{Service: "pieces", After: []int{1}}, {Service: "pieces"}}
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := bad
			r.Shares = []routing.Share{{Service: "s", Weight: 1}}
			change(&r)
			_, err := routing.NewTable(routing.Config{Services: services, Routes: []routing.Route{r}})
			is.Equal(fault.Of(err).Kind(), fault.BadRequest)
			is.Equal(fault.Of(err).Field(), "r")
		})
	}
}

func TestKeysAreNeededOnlyWhereThereAreTeams(t *testing.T) {
	is := is.New(t)
	closed, open := route("closed", "a", "/c/"), route("open", "a", "/o/")
	open.Open = true
	routes := []routing.Route{closed, open}
	with := table(t, routing.Config{Services: services, Routes: routes, Teams: []routing.Team{{Name: "t", Keys: []string{"k"}}}})
	is.True(with.NeedsKey(with.Match("a", "/c/1")))
	is.True(!with.NeedsKey(with.Match("a", "/o/1")))
	is.Equal(with.Team("k").Name, "t")
	is.True(with.Team("") == nil)
	without := table(t, routing.Config{Services: services, Routes: routes})
	is.True(!without.NeedsKey(without.Match("a", "/c/1")))
}

func TestFinalStagesAreThoseWithoutSuccessors(t *testing.T) {
	is := is.New(t)
	r := routing.Route{Stages: []routing.Stage{{}, {}, {After: []int{1}}, {After: []int{2}}}}
	is.Equal(r.FinalStages(), []int{0, 3})
	is.True((&routing.Route{Kind: routing.Streaming, Resumable: true}).Repeatable())
	is.True(!(&routing.Route{Kind: routing.Streaming}).Repeatable())
	is.True(!(&routing.Route{Kind: routing.NonIdempotent}).Repeatable())
}
