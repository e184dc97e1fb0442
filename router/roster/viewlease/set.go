package viewlease

// set is a set of values. The zero set is empty and ready to use.
type set[T comparable] struct{ values map[T]struct{} }

func (s *set[T]) add(v T) {
	if s.values == nil {
		s.values = make(map[T]struct{})
	}
	s.values[v] = struct{}{}
}

func (s *set[T]) has(v T) bool {
	_, ok := s.values[v]
	return ok
}

func (s *set[T]) len() int { return len(s.values) }
