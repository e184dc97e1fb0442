package membership

import (
	"encoding/json"
	"net/netip"
	"strings"

	"cicadawell.dev/fleet/fault"
	"cicadawell.dev/router/inventory"
	"github.com/hashicorp/go-hclog"
)

const (
	// MaxIDBytes bounds the identifiers of instances and runners.
	MaxIDBytes = 200
	// maxCPUShare is the largest accepted CPU share of an instance, in cores.
	maxCPUShare = 1024
)

// record is the form of a registration in the store.
type record struct {
	Zone    string `json:"zone"`
	Address string `json:"address"`
	// CPUShare is missing in the registrations of older builds.
	CPUShare float64 `json:"cpuShare,omitempty"`
}

// Encode returns the form of a registration in the store.
func Encode(i inventory.Instance) ([]byte, error) {
	data, err := json.Marshal(record{Zone: i.Zone, Address: i.Address, CPUShare: i.CPUShare})
	if err != nil {
		return nil, fault.Wrap(fault.Internal, err, "encode a registration")
	}
	return data, nil
}

// Decode decodes the registration of an instance, or returns nil if it is invalid, which it
// logs.
func Decode(name string, data []byte, log hclog.Logger) *inventory.Instance {
	var b record
	err := json.Unmarshal(data, &b)
	if err != nil || !ValidID(name) || b.Zone == "" || !ValidAddress(b.Address) {
		log.Warn("invalid registration of an instance", "instance", name, "zone", b.Zone, "address", b.Address, "error", err)
		return nil
	}
	if b.CPUShare < 0 || b.CPUShare > maxCPUShare {
		log.Warn("invalid CPU share of an instance, it counts as one without", "instance", name, "cpuShare", b.CPUShare)
		b.CPUShare = 0
	}
	return &inventory.Instance{Name: name, Zone: b.Zone, Address: b.Address, CPUShare: b.CPUShare}
}

// ValidAddress reports whether s is the address of one host with a port.
func ValidAddress(s string) bool {
	ap, err := netip.ParseAddrPort(s)
	if err != nil || ap.Port() == 0 {
		return false
	}
	a := ap.Addr().Unmap()
	return a.Zone() == "" && !a.IsUnspecified() && !a.IsMulticast() && a != netip.AddrFrom4([4]byte{255, 255, 255, 255})
}

// ValidID reports whether an identifier can be sent in a header.
func ValidID(id string) bool {
	return id != "" && len(id) <= MaxIDBytes && !strings.ContainsFunc(id, func(r rune) bool { return r <= ' ' || r > '~' })
}
