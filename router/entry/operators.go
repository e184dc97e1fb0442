package entry

import (
	"net/http"

	"cicadawell.dev/router/operator"
	"cicadawell.dev/router/roll"
	"cicadawell.dev/router/settings"
	"cicadawell.dev/router/takeout"
	"cicadawell.dev/router/telemetry"
	"github.com/hashicorp/go-hclog"
)

// pathMetrics serves metrics to scrapers, without an operator's key.
const pathMetrics = "/metrics"

// operators is the server for operators and scrapers.
type operators struct{ *http.Server }

func newOperators(cfg settings.Settings, rollouts roll.Rollouts, takeouts takeout.Takeouts, f *fleet, metrics telemetry.Metrics, log hclog.Logger) operators {
	var accounts []operator.Operator
	for _, o := range cfg.Operators {
		accounts = append(accounts, operator.Operator{Name: o.Name, KeyHash: o.KeyHash, MayWrite: o.MayWrite, MayApprove: o.MayApprove})
	}
	server := operator.New(accounts, operator.Services{Bundles: rollouts, Zones: takeouts.OperatorOrders(takeout.Zone), Runners: takeouts.OperatorOrders(takeout.Runner), Fleet: f}, log.Named("operator"))
	mux := http.NewServeMux()
	mux.Handle(pathMetrics, metrics.Handler())
	mux.Handle("/", server.Handler)
	server.Handler = mux
	return operators{server}
}
