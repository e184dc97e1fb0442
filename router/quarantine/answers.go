package quarantine

import (
	"sync"
	"time"
)

const (
	// answersKept bounds the parts in each of the two generations of answers.
	answersKept = 4096
	// generationLife is the maximum age of a generation, after which a new one begins.
	// Two of them cover the life of evidence.
	generationLife = evidenceLife
)

// answers has the times of the latest answers to calls, by service and part. It is
// safe for concurrent use.
type answers struct {
	mu sync.Mutex
	// recent and older are two generations; when recent is full or too old it
	// replaces older.
	recent, older map[partKey]time.Time
	begun         time.Time
}

type partKey struct{ service, part string }

func newAnswers() *answers { return &answers{recent: make(map[partKey]time.Time)} }

// note records an answer.
func (a *answers) note(service string, parts []string, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.recent) >= answersKept || now.Sub(a.begun) >= generationLife {
		a.older, a.recent, a.begun = a.recent, make(map[partKey]time.Time), now
	}
	for _, p := range parts {
		a.recent[partKey{service, p}] = now
	}
}

// since returns those of the parts that had an answer at a time or later.
func (a *answers) since(service string, parts []string, at time.Time) []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	var out []string
	for _, p := range parts {
		last, ok := a.recent[partKey{service, p}]
		if !ok {
			last, ok = a.older[partKey{service, p}]
		}
		if ok && !last.Before(at) {
			out = append(out, p)
		}
	}
	return out
}
