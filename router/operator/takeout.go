package operator

import (
	"context"

	"cicadawell.dev/fleet/operatorapi"
)

// listTakeouts returns the handler that lists zones or runners.
func listTakeouts(t Takeouts) handler {
	return func(c call) (any, error) {
		rows, err := t.List(c.ctx)
		return operatorapi.TakeoutList{Rows: rows}, err
	}
}

// orderer is Takeouts.Out or Takeouts.In.
type orderer func(t Takeouts, ctx context.Context, by, name string, o operatorapi.TakeoutRequest) (operatorapi.TakeoutStatus, error)

// order returns the handler of an order on the zone or runner that the path
// names at param.
func order(t Takeouts, param string, do orderer) handler {
	return func(c call) (any, error) {
		var o operatorapi.TakeoutRequest
		if err := decode(c, operatorapi.MaxBodyBytes, &o); err != nil {
			return nil, err
		}
		if err := checkUUID("order", o.Order); err != nil {
			return nil, err
		}
		return do(t, c.ctx, c.by.Name, c.gin.Param(param), o)
	}
}
