package ledger

import (
	"sync"
	"time"

	"cicadawell.dev/fleet/callerapi"
	"cicadawell.dev/fleet/fault"
	"cicadawell.dev/router/roster/hold"
)

// scope identifies a key within its team.
type scope struct {
	team string
	key  string
}

// entry is what the home remembers of one key.
type entry struct {
	scope    scope
	minted   time.Time
	bodyHash string
	// request is the identifier of the first request with the key.
	request string
	// done is closed when answer, err and size are set for good.
	done   chan struct{}
	answer callerapi.Answer
	err    error
	// size is the answer's bytes while it is kept.
	size int
	// forgotten is true when the answer was dropped to make room.
	forgotten bool

	slot hold.Slot
	// tenure is the one in which this instance began the call; zero for a
	// call that another instance handed over.
	tenure tenure
	// until is when the call has ended at the latest, wherever it runs.
	until time.Time
	// heir is the instance that the running call was handed over to, or "".
	// handed is closed once that handover is done.
	heir   string
	handed <-chan struct{}
}

func (e *entry) ended() bool {
	select {
	case <-e.done:
		return true
	default:
		return false
	}
}

// bucketWidth is the span of minting times that leave the table together.
const bucketWidth = time.Minute

// table remembers keys and answers, within bounds.
type table struct {
	mu      sync.Mutex
	entries map[scope]*entry
	// buckets holds the entries by their minting time.
	buckets map[int64][]*entry
	// swept is the first bucket that has not left the table: a key of an
	// earlier one that is not in the table may have run.
	swept int64
	// kept are the entries with an answer, oldest first.
	kept  []*entry
	bytes int

	maxEntries int
	maxBytes   int
}

func newTable(maxEntries, maxBytes int) *table {
	return &table{
		entries:    make(map[scope]*entry),
		buckets:    make(map[int64][]*entry),
		maxEntries: maxEntries,
		maxBytes:   maxBytes,
	}
}

func bucketOf(t time.Time) int64 { return t.UnixNano() / int64(bucketWidth) }

// begin returns the entry of the call's key, and whether it is a new one that
// the caller has to run. vouch is asked for a new key only.
func (t *table) begin(fresh *entry, vouch func() error) (*entry, bool, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e, ok := t.entries[fresh.scope]; ok {
		if e.bodyHash != fresh.bodyHash {
			return nil, false, fault.New(fault.KeyConflict, "the key was used with another body").WithField(fieldKey)
		}
		return e, false, nil
	}
	if bucketOf(fresh.minted) < t.swept {
		return nil, false, fault.New(fault.OutcomeUnknown, "the key is older than the keys remembered").WithField(fieldKey)
	}
	if err := vouch(); err != nil {
		return nil, false, err
	}
	if len(t.entries) >= t.maxEntries {
		return nil, false, fault.New(fault.Overloaded, "%d keys are remembered", t.maxEntries)
	}
	t.insert(fresh)
	return fresh, true, nil
}

// insert adds an entry. The caller holds mu.
func (t *table) insert(e *entry) {
	e.done = make(chan struct{})
	t.entries[e.scope] = e
	b := bucketOf(e.minted)
	t.buckets[b] = append(t.buckets[b], e)
}

// finish records how the run of a new entry ended and wakes those that joined.
// A call that was not run leaves the table, so that a repeat may run. It returns
// the instance that the call was handed over to, or "".
func (t *table) finish(e *entry, answer callerapi.Answer, err error) (heir string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.end(e, answer, err)
	return e.heir
}

// end does the work of finish. The caller holds mu.
func (t *table) end(e *entry, answer callerapi.Answer, err error) {
	e.answer, e.err = answer, err
	close(e.done)
	if err != nil {
		if fault.Of(err).Outcome() == fault.NotRun {
			t.remove(e)
		}
		return
	}
	e.size = len(answer.Output)
	t.bytes += e.size
	t.kept = append(t.kept, e)
	for t.bytes > t.maxBytes {
		t.forget()
	}
}

// forget drops the oldest answer; its key stays.
func (t *table) forget() {
	e := t.kept[0]
	t.kept[0] = nil
	t.kept = t.kept[1:]
	t.bytes -= e.size
	e.size = 0
	e.answer = callerapi.Answer{}
	e.forgotten = true
}

// result returns what a finished entry holds.
func (t *table) result(e *entry) (callerapi.Answer, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e.forgotten {
		err := fault.New(fault.OutcomeUnknown, "the call ran, its answer is no longer kept").WithOutcome(fault.Run)
		return callerapi.Answer{}, err
	}
	return e.answer, e.err
}

// remove takes one entry out. The caller holds mu.
func (t *table) remove(e *entry) {
	delete(t.entries, e.scope)
	b := bucketOf(e.minted)
	for i, other := range t.buckets[b] {
		if other == e {
			last := len(t.buckets[b]) - 1
			t.buckets[b][i] = t.buckets[b][last]
			t.buckets[b] = t.buckets[b][:last]
			return
		}
	}
}

// sweep takes out the finished entries minted before cutoff's bucket.
func (t *table) sweep(cutoff time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if bucketOf(cutoff) <= t.swept {
		return
	}
	t.swept = bucketOf(cutoff)
	for b, entries := range t.buckets {
		if b >= t.swept {
			continue
		}
		delete(t.buckets, b)
		for _, e := range entries {
			delete(t.entries, e.scope)
		}
	}
	kept := t.kept[:0]
	for _, e := range t.kept {
		if bucketOf(e.minted) < t.swept {
			t.bytes -= e.size
			continue
		}
		kept = append(kept, e)
	}
	clear(t.kept[len(kept):])
	t.kept = kept
}
