package inventory

import (
	"sync"

	"cicadawell.dev/router/routing"
)

// maxRecentTables is the number of configurations that an instance keeps besides the one in
// force. Instances that follow this one are rarely further behind.
const maxRecentTables = 2

// recentTables holds the latest configurations, the newest last, as the bases of patches for
// other instances. It is safe for concurrent use.
type recentTables struct {
	mu     sync.Mutex
	tables []*routing.Table
}

// note adds the configuration of a snapshot if it is a new one.
func (r *recentTables) note(s *Snapshot) {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := len(r.tables)
	if s.Table == nil || (n > 0 && r.tables[n-1] == s.Table) {
		return
	}
	if n > maxRecentTables {
		r.tables = append(r.tables[:0:0], r.tables[n-maxRecentTables:]...)
	}
	r.tables = append(r.tables, s.Table)
}

// find returns the configuration with a version, or nil.
func (r *recentTables) find(version int64) *routing.Table {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, t := range r.tables {
		if t.Version() == version {
			return t
		}
	}
	return nil
}
