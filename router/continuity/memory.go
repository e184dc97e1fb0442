package continuity

import (
	"sync"
	"time"
)

const (
	// maxStreams bounds the streams that are remembered for one period.
	maxStreams = 1 << 16
	// maxIDBytes bounds the identifier of a stream, which callers choose.
	maxIDBytes = 128
)

// streamKey identifies a stream of a service.
type streamKey struct{ service, id string }

// valid reports whether a stream with this identifier is remembered.
func valid(id string) bool { return id != "" && len(id) <= maxIDBytes }

// memory has the versions that began the latest streams. It is safe for concurrent use.
type memory struct {
	mu sync.Mutex
	// recent has the streams noted since began, earlier those of the period before. A
	// stream is remembered for a period at least, unless there are too many.
	recent, earlier map[streamKey]string
	began           time.Time
}

// note remembers the version that began a stream. The first one noted stays.
func (m *memory) note(k streamKey, version string, now time.Time, period time.Duration) {
	if !valid(k.id) {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if now.Sub(m.began) >= period || len(m.recent) >= maxStreams {
		m.recent, m.earlier, m.began = make(map[streamKey]string), m.recent, now
	}
	if known, ok := m.find(k); ok {
		version = known
	}
	m.recent[k] = version
}

// versionOf returns the version that began a stream, if it is remembered.
func (m *memory) versionOf(k streamKey) (string, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.find(k)
}

// find is versionOf for callers that hold mu.
func (m *memory) find(k streamKey) (string, bool) {
	if version, ok := m.recent[k]; ok {
		return version, true
	}
	version, ok := m.earlier[k]
	return version, ok
}

// all returns the remembered streams of a service by version.
func (m *memory) all(service string) map[string][]string {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make(map[string][]string)
	for _, streams := range []map[streamKey]string{m.earlier, m.recent} {
		for k, version := range streams {
			if k.service == service {
				out[version] = append(out[version], k.id)
			}
		}
	}
	return out
}
