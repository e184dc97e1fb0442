package entry

import (
	"encoding/json"
	"io"
	"net"

	"cicadawell.dev/fleet/fault"
	"cicadawell.dev/router/settings"
)

// listeners holds the sockets of an instance, bound before anything is served.
type listeners struct {
	callers   net.Listener
	operators net.Listener
	instances net.Listener
	// advertise is the address at which other instances reach this one.
	advertise string
}

func newListeners(cfg settings.Settings) (*listeners, error) {
	var l listeners
	targets := []struct {
		field   string
		address string
		to      *net.Listener
	}{
		{"listen.callers", cfg.Listen.Callers, &l.callers},
		{"listen.operators", cfg.Listen.Operators, &l.operators},
		{"listen.instances", cfg.Listen.Instances, &l.instances},
	}
	for _, t := range targets {
		bound, err := net.Listen("tcp", t.address)
		if err != nil {
			return nil, fault.Wrap(fault.BadRequest, err, "listen").WithField(t.field)
		}
		*t.to = bound
	}
	l.advertise = cfg.Advertise
	if l.advertise == "" {
		l.advertise = l.instances.Addr().String()
	}
	return &l, nil
}

// readyLine is printed as JSON once the instance serves. It holds the
// instance's identifier and its addresses.
type readyLine struct {
	Ready     string `json:"ready"`
	Address   string `json:"address"`
	Operators string `json:"operators"`
	Instances string `json:"instances"`
}

// announce writes the ready line.
func (l *listeners) announce(w io.Writer, id string) error {
	return json.NewEncoder(w).Encode(readyLine{
		Ready:     id,
		Address:   l.callers.Addr().String(),
		Operators: l.operators.Addr().String(),
		Instances: l.advertise,
	})
}
