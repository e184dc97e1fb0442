package ledger

import (
	"sync"
	"time"

	"cicadawell.dev/fleet/callerapi"
	"cicadawell.dev/fleet/fault"
	"cicadawell.dev/router/roster/viewlease"
)

// teamKey is an idempotency key, scoped to its team.
type teamKey struct {
	team string
	key  string
}

// entry is the state of one key at its home.
type entry struct {
	teamKey  teamKey
	minted   time.Time
	bodyHash string
	// request is the identifier of the first request with the key.
	request string
	// done is closed once response and err are final.
	done     chan struct{}
	response callerapi.Response
	err      error
	// size is the size of the response in bytes, zero once it is evicted.
	size int
	// responseEvicted is true if the response was evicted to free space.
	responseEvicted bool

	slot viewlease.Slot
	// homeEpoch is the homeEpoch in which this instance began the call;
	// zero for a call that another instance handed over.
	homeEpoch homeEpoch
	// endsBy is when the call has ended at the latest, wherever it runs.
	endsBy time.Time
	// successor is the instance that the running call was handed over to,
	// or "". handoverDone is closed once that handover has ended.
	successor    string
	handoverDone <-chan struct{}
}

func (e *entry) ended() bool {
	select {
	case <-e.done:
		return true
	default:
		return false
	}
}

// bucketWidth is the range of mint times that are swept from the table
// together.
const bucketWidth = time.Minute

// table stores a bounded number of keys and bounded bytes of responses.
type table struct {
	mu      sync.Mutex
	entries map[teamKey]*entry
	// buckets groups the entries by mint time.
	buckets map[int64][]*entry
	// sweptBefore is the first bucket that has not been swept. A key of an
	// earlier bucket may have run although it is not in the table.
	sweptBefore int64
	// withResponse are the entries whose response is stored, in the order in
	// which their end became known here. It also holds entries that another
	// instance handed over with their response evicted; their size is zero.
	withResponse []*entry
	// responseBytes is the total size of the stored responses.
	responseBytes int

	maxEntries int
	maxBytes   int
}

func newTable(maxEntries, maxBytes int) *table {
	return &table{
		entries:    make(map[teamKey]*entry),
		buckets:    make(map[int64][]*entry),
		maxEntries: maxEntries,
		maxBytes:   maxBytes,
	}
}

func bucketOf(t time.Time) int64 { return t.UnixNano() / int64(bucketWidth) }

// lookupOrInsert returns the entry of the call's key, and whether it is a new
// one that the caller has to run. check is called for a new key only; its error
// keeps the key out of the table.
func (t *table) lookupOrInsert(fresh *entry, check func() error) (*entry, bool, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e, ok := t.entries[fresh.teamKey]; ok {
		if e.bodyHash != fresh.bodyHash {
			return nil, false, fault.New(fault.KeyConflict, "the key was used with another body").WithField(fieldKey)
		}
		return e, false, nil
	}
	if bucketOf(fresh.minted) < t.sweptBefore {
		return nil, false, fault.New(fault.OutcomeUnknown, "the key is older than the keys remembered").WithField(fieldKey)
	}
	if err := check(); err != nil {
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
	t.entries[e.teamKey] = e
	b := bucketOf(e.minted)
	t.buckets[b] = append(t.buckets[b], e)
}

// finish records how the run of a new entry ended and wakes the calls that
// joined it. A call that was not run is removed from the table, so that a retry
// may run. finish returns the instance that the call was handed over to, or "".
func (t *table) finish(e *entry, response callerapi.Response, err error) (successor string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.finishLocked(e, response, err)
	return e.successor
}

// finishLocked does the work of finish. The caller holds mu.
func (t *table) finishLocked(e *entry, response callerapi.Response, err error) {
	e.response, e.err = response, err
	close(e.done)
	if err != nil {
		if fault.Of(err).Outcome() == fault.NotRun {
			t.remove(e)
		}
		return
	}
	e.size = len(response.Output)
	t.responseBytes += e.size
	t.withResponse = append(t.withResponse, e)
	for t.responseBytes > t.maxBytes {
		t.evictResponse()
	}
}

// evictResponse evicts the oldest response; its key stays in the table. The
// caller holds mu.
func (t *table) evictResponse() {
	e := t.withResponse[0]
	t.withResponse[0] = nil
	t.withResponse = t.withResponse[1:]
	t.responseBytes -= e.size
	e.size = 0
	e.response = callerapi.Response{}
	e.responseEvicted = true
}

// result returns the response or the error of a finished entry.
func (t *table) result(e *entry) (callerapi.Response, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e.responseEvicted {
		err := fault.New(fault.OutcomeUnknown, "the call ran, its answer is no longer kept").WithOutcome(fault.Run)
		return callerapi.Response{}, err
	}
	return e.response, e.err
}

// remove deletes an entry. The caller holds mu.
func (t *table) remove(e *entry) {
	delete(t.entries, e.teamKey)
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

// sweep deletes the entries minted before cutoff's bucket.
func (t *table) sweep(cutoff time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if bucketOf(cutoff) <= t.sweptBefore {
		return
	}
	t.sweptBefore = bucketOf(cutoff)
	for b, entries := range t.buckets {
		if b >= t.sweptBefore {
			continue
		}
		delete(t.buckets, b)
		for _, e := range entries {
			delete(t.entries, e.teamKey)
		}
	}
	kept := t.withResponse[:0]
	for _, e := range t.withResponse {
		if bucketOf(e.minted) < t.sweptBefore {
			t.responseBytes -= e.size
			continue
		}
		kept = append(kept, e)
	}
	clear(t.withResponse[len(kept):])
	t.withResponse = kept
}
