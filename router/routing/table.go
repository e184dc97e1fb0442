package routing

import (
	"net"
	"slices"
	"strings"

	"cicadawell.dev/fleet/fault"
)

// Config is one version of the configuration, as written by operators.
type Config struct {
	Version  int64
	Routes   []Route
	Services []Service
	Teams    []Team
	Limits   Limits
}

// Table is a validated configuration with its indices. It is immutable.
type Table struct {
	cfg      Config
	services map[string]*Service
	// hosts has the routes of each host, in decreasing order of prefix length.
	hosts map[string][]*Route
	// teams is keyed by the teams' keys.
	teams map[string]*Team
	// ranks has the precedences of all calls, the highest first.
	ranks []precedence
}

// NewTable validates a configuration, which must not be changed afterwards, and
// returns its table. Errors carry the name of the invalid route.
func NewTable(cfg Config) (*Table, error) {
	t := &Table{
		cfg:      cfg,
		services: make(map[string]*Service, len(cfg.Services)),
		hosts:    make(map[string][]*Route, len(cfg.Routes)),
		teams:    make(map[string]*Team),
	}
	for i := range cfg.Services {
		t.services[cfg.Services[i].Name] = &cfg.Services[i]
	}
	for i := range cfg.Routes {
		r := &cfg.Routes[i]
		if err := t.check(r); err != nil {
			return nil, err
		}
		t.hosts[r.Host] = append(t.hosts[r.Host], r)
	}
	for _, rs := range t.hosts {
		slices.SortFunc(rs, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	for i := range cfg.Teams {
		for _, k := range cfg.Teams[i].Keys {
			t.teams[k] = &cfg.Teams[i]
		}
	}
	t.ranks = newRanks(cfg)
	return t, nil
}

func (t *Table) check(r *Route) error {
	if len(r.Shares) == 0 {
		return fault.New(fault.BadRequest, "a route needs a service").WithField(r.Name)
	}
	for _, s := range r.Shares {
		if t.services[s.Service] == nil {
			return fault.New(fault.BadRequest, "service %q is not known", s.Service).WithField(r.Name)
		}
	}
	for i, s := range r.Stages {
		svc := t.services[s.Service]
		if svc == nil || svc.Batches == nil {
			return fault.New(fault.BadRequest, "stage %d: service %q makes no pieces", i, s.Service).WithField(r.Name)
		}
		for _, a := range s.After {
			if a < 0 || a >= i {
				return fault.New(fault.BadRequest, "stage %d can't follow stage %d", i, a).WithField(r.Name)
			}
		}
	}
	return nil
}

// Config returns the configuration, which must not be changed.
func (t *Table) Config() Config { return t.cfg }

// Version returns the version of the configuration.
func (t *Table) Version() int64 { return t.cfg.Version }

// Limits returns the bounds on the requests of callers.
func (t *Table) Limits() Limits { return t.cfg.Limits }

// Service returns the service with this name, or nil.
func (t *Table) Service(name string) *Service { return t.services[name] }

// NeedsKey reports whether calls of r must carry a team's key.
func (t *Table) NeedsKey(r *Route) bool { return len(t.cfg.Teams) > 0 && !r.Open }

// Team returns the team with this key, or nil.
func (t *Table) Team(key string) *Team { return t.teams[key] }

// Match returns the route with the longest prefix of path for a host, or nil.
// The host may include a port.
func (t *Table) Match(host, path string) *Route {
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	for _, r := range t.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}
