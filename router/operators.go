package main

import (
	"context"
	"net/http"

	"github.com/hashicorp/go-hclog"

	"cicadawell.dev/fleet/fault"
	"cicadawell.dev/fleet/operatorapi"
	"cicadawell.dev/router/gauge"
	"cicadawell.dev/router/operator"
	"cicadawell.dev/router/roll"
	"cicadawell.dev/router/settings"
)

// pathMetrics answers scrapers, who need no operator's key.
const pathMetrics = "/metrics"

// operators is the server for operators and scrapers.
type operators struct{ *http.Server }

func newOperators(cfg settings.Settings, rolls roll.Rolls, f *fleet, metrics gauge.Metrics, log hclog.Logger) operators {
	var who []operator.Operator
	for _, o := range cfg.Operators {
		who = append(who, operator.Operator{Name: o.Name, KeyHash: o.KeyHash, MayWrite: o.MayWrite, MayApprove: o.MayApprove})
	}
	server := operator.New(who, operator.Services{Bundles: rolls, Zones: noTakeouts{}, Runners: noTakeouts{}, Fleet: f}, log.Named("operator"))
	mux := http.NewServeMux()
	mux.Handle(pathMetrics, metrics.Handler())
	mux.Handle("/", server.Handler)
	server.Handler = mux
	return operators{server}
}

// noTakeouts refuses orders until they are wired.
type noTakeouts struct{}

func (noTakeouts) List(context.Context) ([]operatorapi.TakeoutStatus, error) { return nil, nil }

func (noTakeouts) Out(context.Context, string, string, operatorapi.TakeoutRequest) (operatorapi.TakeoutStatus, error) {
	return operatorapi.TakeoutStatus{}, fault.New(fault.NotReady, "not built yet")
}

func (noTakeouts) In(context.Context, string, string, operatorapi.TakeoutRequest) (operatorapi.TakeoutStatus, error) {
	return operatorapi.TakeoutStatus{}, fault.New(fault.NotReady, "not built yet")
}

func (noTakeouts) Zones() map[string]bool { return nil }

func (noTakeouts) Runners() map[string]bool { return nil }
