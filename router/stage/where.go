package stage

// Preview returns the forecast for an order without reserving a place in the queue.
func (p *Pool) Preview(a Reservation) Forecast {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.forecast(a)
}

func (s *poolSet) Preview(a Reservation) (f Forecast, owner string) {
	return s.pool(a.Shard).Preview(a), ""
}

func (s *shared) Preview(a Reservation) (f Forecast, owner string) {
	f, _ = s.local.Preview(a)
	if to := s.owners.OfShard(ownerKey, a.Shard); to != s.self {
		owner = to
	}
	return f, owner
}
