package operator

import "cicadawell.dev/fleet/operatorapi"

func (s *server) explain(c call) (any, error) {
	return s.services.Fleet.Explain(c.ctx, c.gin.Param("request"))
}

func (s *server) instances(c call) (any, error) {
	rows, err := s.services.Fleet.Instances(c.ctx)
	return operatorapi.InstanceList{Rows: rows}, err
}
