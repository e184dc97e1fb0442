package settings

import (
	"encoding/hex"
	"fmt"
	"net/netip"
	"regexp"
	"slices"
	"strings"

	"cicadawell.dev/fleet/config"
)

// maxStopGraceMillis limits the time of a graceful shutdown to an hour.
const maxStopGraceMillis = 3_600_000

// keyHashBytes is the length of a SHA-256 hash in bytes.
const keyHashBytes = 32

var (
	idPattern = regexp.MustCompile(`^[a-z0-9][a-zA-Z0-9._-]{0,63}$`)
	logLevels = []string{"trace", "debug", "info", "warn", "error"}
)

// addressRule is what checkAddress requires of an address: one to bind to may be
// unspecified or have port 0, one to dial may not.
type addressRule bool

const (
	bindAddress addressRule = true
	dialAddress addressRule = false
)

// Validate adds each invalid field to r.
func (s Settings) Validate(r *config.Report) {
	checkID(r, "id", s.ID)
	checkID(r, "zone", s.Zone)
	if s.Region != "" {
		checkID(r, "region", s.Region)
	}
	checkAddress(r, "listen.callers", s.Listen.Callers, bindAddress)
	checkAddress(r, "listen.operators", s.Listen.Operators, bindAddress)
	checkAddress(r, "listen.instances", s.Listen.Instances, bindAddress)
	s.checkAdvertise(r)
	checkAddress(r, "platform.store", s.Platform.Store, dialAddress)
	checkAddress(r, "platform.instances", s.Platform.Instances, dialAddress)
	checkAddress(r, "platform.weights", s.Platform.Weights, dialAddress)
	s.checkOperators(r)
	if s.StopGraceMillis < 1 || s.StopGraceMillis > maxStopGraceMillis {
		r.Add("stopGraceMillis", fmt.Sprint(s.StopGraceMillis), fmt.Sprintf("1 to %d", maxStopGraceMillis))
	}
	if s.BalancerLagMillis < 0 || s.BalancerLagMillis > s.StopGraceMillis {
		r.Add("balancerLagMillis", fmt.Sprint(s.BalancerLagMillis), "0 to stopGraceMillis")
	}
	if !slices.Contains(policies, s.Policy) {
		r.Add("policy", quote(string(s.Policy)), fmt.Sprintf("one of %q", policies))
	}
	if !slices.Contains(logLevels, s.LogLevel) {
		r.Add("logLevel", quote(s.LogLevel), "one of "+strings.Join(logLevels, ", "))
	}
}

func (s Settings) checkAdvertise(r *config.Report) {
	if s.Advertise != "" {
		checkAddress(r, "advertise", s.Advertise, dialAddress)
		return
	}
	listen, err := netip.ParseAddrPort(s.Listen.Instances)
	if err == nil && listen.Addr().IsUnspecified() {
		r.Add("advertise", `""`, "an IP address with a port, since listen.instances names no single address")
	}
}

func (s Settings) checkOperators(r *config.Report) {
	names := map[string]bool{}
	hashes := map[string]bool{}
	for i, o := range s.Operators {
		field := fmt.Sprintf("operators[%d]", i)
		checkID(r, field+".name", o.Name)
		if names[o.Name] {
			r.Add(field+".name", quote(o.Name)+" twice", "a name of its own")
		}
		names[o.Name] = true
		sum, err := hex.DecodeString(o.KeyHash)
		if err != nil || len(sum) != keyHashBytes || o.KeyHash != strings.ToLower(o.KeyHash) {
			r.Add(field+".keyHash", fmt.Sprintf("%d characters", len(o.KeyHash)), "a SHA-256 hash of 64 lower-case hex digits")
			continue
		}
		if hashes[o.KeyHash] {
			r.Add(field+".keyHash", "the hash of another operator's key", "a key of its own")
		}
		hashes[o.KeyHash] = true
	}
}

func checkID(r *config.Report, field, id string) {
	if !idPattern.MatchString(id) {
		r.Add(field, quote(id), idPattern.String())
	}
}

func checkAddress(r *config.Report, field, address string, rule addressRule) {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		r.Add(field, quote(address), "an IP address with a port")
		return
	}
	if rule == bindAddress {
		return
	}
	if parsed.Port() == 0 || parsed.Addr().IsUnspecified() {
		r.Add(field, quote(address), "an IP address with a port that others can connect to")
	}
}

func quote(s string) string { return fmt.Sprintf("%q", s) }
