package operator

import (
	"context"
	"strconv"

	"cicadawell.dev/fleet/fault"
	"cicadawell.dev/fleet/operatorapi"
	"github.com/google/uuid"
)

func (s *server) bundleStatus(c call) (any, error) {
	return s.services.Bundles.Status(c.ctx)
}

func (s *server) bundleContent(c call) (any, error) {
	v, err := versionParam(c)
	if err != nil {
		return nil, err
	}
	return s.services.Bundles.Content(c.ctx, v)
}

func (s *server) bundleWrite(c call) (any, error) {
	var w operatorapi.WriteRequest
	if err := decode(c, operatorapi.MaxBundleBytes, &w); err != nil {
		return nil, err
	}
	if err := checkUUID("write", w.WriteID); err != nil {
		return nil, err
	}
	return s.services.Bundles.Write(c.ctx, c.operator.Name, w)
}

// stepFunc is a method of Bundles that changes the state of a version: Sign,
// Roll, Cancel or Discard.
type stepFunc func(b Bundles, ctx context.Context, by string, version uint64, s operatorapi.StepRequest) (operatorapi.Version, error)

// stepHandler returns the handler that calls step.
func (s *server) stepHandler(step stepFunc) handler {
	return func(c call) (any, error) {
		v, err := versionParam(c)
		if err != nil {
			return nil, err
		}
		var r operatorapi.StepRequest
		if err := decode(c, operatorapi.MaxBodyBytes, &r); err != nil {
			return nil, err
		}
		if err := checkUUID("step", r.StepID); err != nil {
			return nil, err
		}
		return step(s.services.Bundles, c.ctx, c.operator.Name, v, r)
	}
}

// versionParam returns the version in the path of a call.
func versionParam(c call) (uint64, error) {
	text := c.gin.Param("version")
	v, err := strconv.ParseUint(text, 10, 64)
	if err != nil || v == 0 {
		return 0, fault.New(fault.BadRequest, "found %q, allowed is a number from 1", text).WithField("version")
	}
	return v, nil
}

// checkUUID returns an error if id is not a UUID of version 7.
func checkUUID(field, id string) error {
	u, err := uuid.Parse(id)
	if err != nil || u.Version() != 7 {
		return fault.New(fault.BadRequest, "found %q, allowed is a UUID of version 7", id).WithField(field)
	}
	return nil
}
