// Package operator serves the interface for operators.
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

// Bundles moves versions of the bundle from draft to in force.
type Bundles interface {
	// Status returns the state and the versions.
	Status(ctx context.Context) (operatorapi.BundleStatus, error)
	// Write stores a draft that by wrote.
	Write(ctx context.Context, by string, w operatorapi.WriteRequest) (operatorapi.Version, error)
	// Content returns the bundle of a version.
	Content(ctx context.Context, version uint64) (bundle.Bundle, error)
	// Sign signs a version off.
	Sign(ctx context.Context, by string, version uint64, s operatorapi.StepRequest) (operatorapi.Version, error)
	// Roll starts a roll; it goes on without the operator.
	Roll(ctx context.Context, by string, version uint64, s operatorapi.StepRequest) (operatorapi.Version, error)
	// Cancel ends a roll that is not decided.
	Cancel(ctx context.Context, by string, version uint64, s operatorapi.StepRequest) (operatorapi.Version, error)
	// Discard removes a version that was never rolled.
	Discard(ctx context.Context, by string, version uint64, s operatorapi.StepRequest) (operatorapi.Version, error)
}

// Takeouts carries out orders on zones or on runners.
type Takeouts interface {
	// List returns a row for each name.
	List(ctx context.Context) ([]operatorapi.TakeoutStatus, error)
	// Out lets the name receive no new work.
	Out(ctx context.Context, by, name string, o operatorapi.TakeoutRequest) (operatorapi.TakeoutStatus, error)
	// In lets the name receive work again.
	In(ctx context.Context, by, name string, o operatorapi.TakeoutRequest) (operatorapi.TakeoutStatus, error)
}

// Fleet tells of the instances and of what they decided.
type Fleet interface {
	// Instances returns a row for each instance.
	Instances(ctx context.Context) ([]operatorapi.InstanceStatus, error)
	// Explain returns what was decided for a request.
	Explain(ctx context.Context, request string) (operatorapi.Explanation, error)
}

// Services are what the interface gives operators access to.
type Services struct {
	Bundles Bundles
	Zones   Takeouts
	Runners Takeouts
	Fleet   Fleet
}

// Timeouts of the server.
const (
	readHeaderTimeout = 5 * time.Second
	// readTimeout leaves time for a bundle over a slow line.
	readTimeout = time.Minute
	idleTimeout = 2 * time.Minute
	// callTimeout bounds the work for one call.
	callTimeout = 30 * time.Second
)

// New returns a server for the operators, without an address.
func New(operators []Operator, services Services, log hclog.Logger) *http.Server {
	return &http.Server{
		Handler:           NewHandler(operators, services, log),
		ReadHeaderTimeout: readHeaderTimeout,
		ReadTimeout:       readTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    operatorapi.MaxHeaderBytes,
	}
}

// NewHandler returns the handler of the interface for operators.
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

// server answers calls.
type server struct {
	services Services
	keys     keys
	log      hclog.Logger
}

// route names the handler and the right for each path.
func (s *server) route(e *gin.Engine) {
	get := func(path string, h handler) { e.GET(ginPath(path), s.serve(mayRead, h)) }
	post := func(path string, r right, h handler) { e.POST(ginPath(path), s.serve(r, h)) }
	get(operatorapi.PathBundle, s.bundleStatus)
	get(operatorapi.PathVersion, s.bundleContent)
	post(operatorapi.PathDrafts, mayWrite, s.bundleWrite)
	post(operatorapi.PathSign, mayApprove, s.step(Bundles.Sign))
	post(operatorapi.PathRoll, mayWrite, s.step(Bundles.Roll))
	post(operatorapi.PathCancel, mayWrite, s.step(Bundles.Cancel))
	post(operatorapi.PathDiscard, mayWrite, s.step(Bundles.Discard))
	get(operatorapi.PathZones, listTakeouts(s.services.Zones))
	post(operatorapi.PathZoneOut, mayWrite, order(s.services.Zones, "zone", Takeouts.Out))
	post(operatorapi.PathZoneIn, mayWrite, order(s.services.Zones, "zone", Takeouts.In))
	get(operatorapi.PathRunners, listTakeouts(s.services.Runners))
	post(operatorapi.PathDrain, mayWrite, order(s.services.Runners, "runner", Takeouts.Out))
	post(operatorapi.PathUndrain, mayWrite, order(s.services.Runners, "runner", Takeouts.In))
	get(operatorapi.PathRequest, s.explain)
	get(operatorapi.PathInstances, s.instances)
}

// ginPath writes a path's names in gin's way.
func ginPath(path string) string {
	return strings.NewReplacer("{", ":", "}", "").Replace(path)
}
