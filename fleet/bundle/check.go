package bundle

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/netip"
	"regexp"

	"cicadawell.dev/fleet/fault"
)

// Limits on the size of a bundle and on the values in it.
const (
	MaxTeams       = 100_000
	MaxRunners     = 20_000
	MaxStages      = 8
	MaxDeadlineMs  = 600_000
	MaxBodyLimit   = 8 << 20
	MaxResultLimit = 8 << 20
)

var idPattern = regexp.MustCompile(`^[a-z0-9][a-zA-Z0-9._-]{0,63}$`)

// Validate validates the bundle. It returns an error for the first invalid field,
// with the path of the field, the value found and the values allowed.
func (b Bundle) Validate() error {
	c := checker{tiers: map[string]bool{}, zones: map[string]bool{}, served: map[servedModel]bool{}}
	steps := []func(Bundle) error{c.checkTiers, c.checkTeams, c.checkZones, c.checkRunners, c.checkPipelines}
	for _, step := range steps {
		if err := step(b); err != nil {
			return err
		}
	}
	return nil
}

// checker holds the tiers, zones and models found in the parts of the bundle that
// were checked so far. Later parts refer to them.
type checker struct {
	tiers  map[string]bool
	zones  map[string]bool
	served map[servedModel]bool
}

// servedModel is a service with one of its models, as a stage requests it. model is
// empty for the service alone.
type servedModel struct{ service, model string }

// invalid returns an error of kind BadRequest for field.
func invalid(field, format string, args ...any) error {
	return fault.New(fault.BadRequest, format, args...).WithField(field)
}

// checkUniqueID checks that id is a valid identifier and not in seen, and adds it
// to seen. field is the path of id.
func checkUniqueID(seen map[string]bool, field, id string) error {
	if !idPattern.MatchString(id) {
		return invalid(field, "found %q, allowed is %s", id, idPattern)
	}
	if seen[id] {
		return invalid(field, "found %q twice", id)
	}
	seen[id] = true
	return nil
}

// checkRange checks that n is at least low and at most high.
func checkRange(field string, n, low, high int64) error {
	if n < low || n > high {
		return invalid(field, "found %d, allowed is %d to %d", n, low, high)
	}
	return nil
}

func (c checker) checkTiers(b Bundle) error {
	for i, t := range b.Tiers {
		if err := checkUniqueID(c.tiers, fmt.Sprintf("tiers[%d].id", i), t.ID); err != nil {
			return err
		}
	}
	return nil
}

func (c checker) checkTeams(b Bundle) error {
	if len(b.Teams) > MaxTeams {
		return invalid("teams", "found %d, allowed are %d", len(b.Teams), MaxTeams)
	}
	seen := map[string]bool{}
	keys := map[string]bool{}
	for i, t := range b.Teams {
		field := fmt.Sprintf("teams[%d]", i)
		if err := checkUniqueID(seen, field+".id", t.ID); err != nil {
			return err
		}
		if err := c.checkTeam(field, t, keys); err != nil {
			return err
		}
	}
	return nil
}

func (c checker) checkTeam(field string, t Team, keys map[string]bool) error {
	if !c.tiers[t.Tier] {
		return invalid(field+".tier", "found %q, which no tier has as its id", t.Tier)
	}
	if t.RatePerSecond < 0 {
		return invalid(field+".ratePerSecond", "found %g, allowed is 0 or more", t.RatePerSecond)
	}
	if t.Weight < 0 {
		return invalid(field+".weight", "found %g, allowed is 0 or more", t.Weight)
	}
	for j, h := range t.KeyHashes {
		path := fmt.Sprintf("%s.keyHashes[%d]", field, j)
		if sum, err := hex.DecodeString(h); err != nil || len(sum) != sha256.Size {
			return invalid(path, "found %d characters, allowed is a hex SHA-256 hash", len(h))
		}
		if keys[h] {
			return invalid(path, "found a hash that another key has")
		}
		keys[h] = true
	}
	return nil
}

func (c checker) checkZones(b Bundle) error {
	for i, z := range b.Zones {
		if err := checkUniqueID(c.zones, fmt.Sprintf("zones[%d].id", i), z.ID); err != nil {
			return err
		}
	}
	return nil
}

func (c checker) checkRunners(b Bundle) error {
	if len(b.Runners) > MaxRunners {
		return invalid("runners", "found %d, allowed are %d", len(b.Runners), MaxRunners)
	}
	seen := map[string]bool{}
	for i, r := range b.Runners {
		field := fmt.Sprintf("runners[%d]", i)
		if err := checkUniqueID(seen, field+".id", r.ID); err != nil {
			return err
		}
		if err := c.checkRunner(field, r); err != nil {
			return err
		}
	}
	return nil
}

func (c checker) checkRunner(field string, r Runner) error {
	if !c.zones[r.Zone] {
		return invalid(field+".zone", "found %q, which no zone has as its id", r.Zone)
	}
	if _, err := netip.ParseAddrPort(r.Address); err != nil {
		return invalid(field+".address", "found %q, allowed is an IP address with a port", r.Address)
	}
	if err := checkRange(field+".slots", int64(r.Slots), 1, 1<<16); err != nil {
		return err
	}
	if err := checkRange(field+".coldSlots", int64(r.ColdSlots), 1, int64(r.Slots)); err != nil {
		return err
	}
	if err := checkRange(field+".warmupMillis", r.WarmupMillis, 0, 3_600_000); err != nil {
		return err
	}
	c.served[servedModel{service: r.Service}] = true
	for _, m := range r.Models {
		c.served[servedModel{service: r.Service, model: m}] = true
	}
	return nil
}

func (c checker) checkPipelines(b Bundle) error {
	seen := map[string]bool{}
	for i, p := range b.Pipelines {
		field := fmt.Sprintf("pipelines[%d]", i)
		if err := checkUniqueID(seen, field+".id", p.ID); err != nil {
			return err
		}
		if err := c.checkPipeline(field, p); err != nil {
			return err
		}
	}
	return nil
}

func (c checker) checkPipeline(field string, p Pipeline) error {
	if err := checkRange(field+".maxDeadlineMillis", p.MaxDeadlineMillis, 1, MaxDeadlineMs); err != nil {
		return err
	}
	if err := checkRange(field+".deadlineMillis", p.DeadlineMillis, 1, p.MaxDeadlineMillis); err != nil {
		return err
	}
	if err := checkRange(field+".maxBodyBytes", p.MaxBodyBytes, 1, MaxBodyLimit); err != nil {
		return err
	}
	if err := checkRange(field+".stages", int64(len(p.Stages)), 1, MaxStages); err != nil {
		return err
	}
	names := map[string]bool{}
	for j, s := range p.Stages {
		path := fmt.Sprintf("%s.stages[%d]", field, j)
		if err := checkUniqueID(names, path+".name", s.Name); err != nil {
			return err
		}
		if err := c.checkStage(path, s, j == len(p.Stages)-1); err != nil {
			return err
		}
	}
	return nil
}

func (c checker) checkStage(field string, s Stage, last bool) error {
	if !c.served[servedModel{service: s.Service, model: s.Model}] {
		return invalid(field, "no runner serves service %q with model %q", s.Service, s.Model)
	}
	if !s.Idempotent && !last {
		return invalid(field+".idempotent", "found false, allowed only on the last stage")
	}
	if s.Streams && !last {
		return invalid(field+".streams", "found true, allowed only on the last stage")
	}
	return checkRange(field+".maxResultBytes", s.MaxResultBytes, 1, MaxResultLimit)
}
