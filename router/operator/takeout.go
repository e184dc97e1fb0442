package operator

import (
	"context"

	"cicadawell.dev/fleet/operatorapi"
)

// listTakeouts returns the handler that lists the zones or runners of t.
func listTakeouts(t Takeouts) handler {
	return func(c call) (any, error) {
		rows, err := t.List(c.ctx)
		return operatorapi.TakeoutList{Rows: rows}, err
	}
}

// takeoutFunc is Takeouts.Out or Takeouts.In.
type takeoutFunc func(t Takeouts, ctx context.Context, by, name string, o operatorapi.TakeoutRequest) (operatorapi.TakeoutStatus, error)

// takeoutHandler returns the handler that calls takeout for the zone or runner
// in the path parameter param.
func takeoutHandler(t Takeouts, param string, takeout takeoutFunc) handler {
	return func(c call) (any, error) {
		var o operatorapi.TakeoutRequest
		if err := decode(c, operatorapi.MaxBodyBytes, &o); err != nil {
			return nil, err
		}
		if err := checkUUID("order", o.OrderID); err != nil {
			return nil, err
		}
		return takeout(t, c.ctx, c.operator.Name, c.gin.Param(param), o)
	}
}
