package platform

import (
	"context"
	"net/http"

	"cicadawell.dev/fleet/platformapi"
)

// InstanceList is the platform's list of instances. It lags behind the actual state.
type InstanceList interface {
	// Instances returns the rows that the platform currently reports.
	Instances(ctx context.Context) ([]platformapi.Instance, error)
}

// NewInstanceList returns a client of the list of instances at address.
func NewInstanceList(address string, opts ...Option) InstanceList {
	return &instanceList{client: newClient(address, opts)}
}

type instanceList struct{ client *client }

func (l *instanceList) Instances(ctx context.Context) ([]platformapi.Instance, error) {
	ctx, cancel := context.WithTimeout(ctx, l.client.timeout)
	defer cancel()
	var res platformapi.InstancesResponse
	err := l.client.send(ctx, callInstances, http.MethodGet, platformapi.PathInstances, nil, &res)
	return res.Instances, err
}
