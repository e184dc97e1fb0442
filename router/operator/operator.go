// Package operator serves the HTTP API for operators.
package operator

import (
	"context"
	"net/http"
	"strings"
	"time"

	"cicadawell.dev/fleet/bundle"
	"cicadawell.dev/fleet/operatorapi"
	"github.com/gin-gonic/gin"
	"github.com/hashicorp/go-hclog"
)

// Bundles manages the versions of the bundle, from draft to in force.
type Bundles interface {
	// Status returns the state of the bundle and its versions.
	Status(ctx context.Context) (operatorapi.BundleStatus, error)
	// Write stores a draft with the operator by as its author.
	Write(ctx context.Context, by string, w operatorapi.WriteRequest) (operatorapi.Version, error)
	// Content returns the content of a version.
	Content(ctx context.Context, version uint64) (bundle.Bundle, error)
	// Sign signs off a version.
	Sign(ctx context.Context, by string, version uint64, s operatorapi.StepRequest) (operatorapi.Version, error)
	// Roll starts the rollout of a version, which continues independently
	// of the call.
	Roll(ctx context.Context, by string, version uint64, s operatorapi.StepRequest) (operatorapi.Version, error)
	// Cancel ends a rollout that is not yet decided.
	Cancel(ctx context.Context, by string, version uint64, s operatorapi.StepRequest) (operatorapi.Version, error)
	// Discard removes a version that was never decided and is not being
	// staged.
	Discard(ctx context.Context, by string, version uint64, s operatorapi.StepRequest) (operatorapi.Version, error)
}

// Takeouts takes zones or runners out of service and returns them.
type Takeouts interface {
	// List returns a row for each zone or runner.
	List(ctx context.Context) ([]operatorapi.TakeoutStatus, error)
	// Out stops new work from being sent to the named zone or runner. by is
	// the operator's name.
	Out(ctx context.Context, by, name string, o operatorapi.TakeoutRequest) (operatorapi.TakeoutStatus, error)
	// In allows new work to be sent to the named zone or runner again.
	In(ctx context.Context, by, name string, o operatorapi.TakeoutRequest) (operatorapi.TakeoutStatus, error)
}

// Fleet provides the status of the instances and their recorded decisions.
type Fleet interface {
	// Instances returns a row for each instance.
	Instances(ctx context.Context) ([]operatorapi.InstanceStatus, error)
	// Explain returns the decisions recorded for a request.
	Explain(ctx context.Context, request string) (operatorapi.Explanation, error)
}

// Services are the services that the API gives operators access to.
type Services struct {
	Bundles Bundles
	Zones   Takeouts
	Runners Takeouts
	Fleet   Fleet
}

// Timeouts of the server.
const (
	readHeaderTimeout = 5 * time.Second
	// readTimeout is long enough to upload a bundle over a slow connection.
	readTimeout = time.Minute
	idleTimeout = 2 * time.Minute
	// callTimeout limits the time that a handler has for one call.
	callTimeout = 30 * time.Second
)

// New returns a server of the operator API. Its address is not set.
func New(operators []Operator, services Services, log hclog.Logger) *http.Server {
	return &http.Server{
		Handler:           NewHandler(operators, services, log),
		ReadHeaderTimeout: readHeaderTimeout,
		ReadTimeout:       readTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    operatorapi.MaxHeaderBytes,
	}
}

// NewHandler returns the handler of the operator API.
func NewHandler(operators []Operator, services Services, log hclog.Logger) http.Handler {
	gin.SetMode(gin.ReleaseMode)
	e := gin.New()
	e.HandleMethodNotAllowed = true
	s := &server{services: services, keys: newKeys(operators), log: log}
	e.Use(s.recover)
	e.NoRoute(s.noRoute)
	e.NoMethod(s.noRoute)
	s.route(e)
	return e
}

// server handles the calls of the operator API.
type server struct {
	services Services
	keys     keys
	log      hclog.Logger
}

// route registers the handler and the required permission of each path.
func (s *server) route(e *gin.Engine) {
	get := func(path string, h handler) { e.GET(ginPath(path), s.serve(mayRead, h)) }
	post := func(path string, p permission, h handler) { e.POST(ginPath(path), s.serve(p, h)) }
	get(operatorapi.PathBundle, s.bundleStatus)
	get(operatorapi.PathVersion, s.bundleContent)
	post(operatorapi.PathDrafts, mayWrite, s.bundleWrite)
	post(operatorapi.PathSign, mayApprove, s.stepHandler(Bundles.Sign))
	post(operatorapi.PathRoll, mayWrite, s.stepHandler(Bundles.Roll))
	post(operatorapi.PathCancel, mayWrite, s.stepHandler(Bundles.Cancel))
	post(operatorapi.PathDiscard, mayWrite, s.stepHandler(Bundles.Discard))
	get(operatorapi.PathZones, listTakeouts(s.services.Zones))
	post(operatorapi.PathZoneOut, mayWrite, takeoutHandler(s.services.Zones, "zone", Takeouts.Out))
	post(operatorapi.PathZoneIn, mayWrite, takeoutHandler(s.services.Zones, "zone", Takeouts.In))
	get(operatorapi.PathRunners, listTakeouts(s.services.Runners))
	post(operatorapi.PathDrain, mayWrite, takeoutHandler(s.services.Runners, "runner", Takeouts.Out))
	post(operatorapi.PathUndrain, mayWrite, takeoutHandler(s.services.Runners, "runner", Takeouts.In))
	get(operatorapi.PathRequest, s.explain)
	get(operatorapi.PathInstances, s.instances)
}

// ginPath converts path parameters from the form {name} to gin's form :name.
func ginPath(path string) string {
	return strings.NewReplacer("{", ":", "}", "").Replace(path)
}
