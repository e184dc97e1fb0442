package roll

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"cicadawell.dev/fleet/clock"
	"cicadawell.dev/fleet/fault"
	"cicadawell.dev/fleet/platformapi"
)

// stateKey is the store key of the State.
const stateKey = "bundle/state"

// Retries of a write of the state.
const (
	writeRetryDelay  = 50 * time.Millisecond
	maxWriteAttempts = 20
)

// Store is the part of the platform's store that rollouts need.
type Store interface {
	Get(ctx context.Context, key string) (entry *platformapi.Entry, revision uint64, err error)
	Put(ctx context.Context, put platformapi.PutRequest) (revision uint64, err error)
	Delete(ctx context.Context, del platformapi.DeleteRequest) (revision uint64, err error)
	Watch(ctx context.Context, watch platformapi.WatchRequest) (platformapi.WatchResponse, error)
}

// stateStore reads and writes the State.
type stateStore struct {
	store Store
	clock clock.Clock
}

// versionedState is a state with the revision of its key in the store; zero
// means that the key does not exist.
type versionedState struct {
	State
	revision uint64
	// readRevision is the store's revision at the time of the read.
	readRevision uint64
}

func (d stateStore) read(ctx context.Context) (versionedState, error) {
	entry, readRevision, err := d.store.Get(ctx, stateKey)
	if err != nil {
		return versionedState{}, err
	}
	v, err := decodeState(entry)
	v.readRevision = readRevision
	return v, err
}

func decodeState(entry *platformapi.Entry) (versionedState, error) {
	if entry == nil {
		return versionedState{}, nil
	}
	v := versionedState{revision: entry.Revision}
	if err := json.Unmarshal(entry.Value, &v.State); err != nil {
		return v, fault.Wrap(fault.Internal, err, "decode %s", stateKey)
	}
	return v, nil
}

// write stores s if the key still has the revision of seen.
func (d stateStore) write(ctx context.Context, seen versionedState, s State) (versionedState, error) {
	value, err := json.Marshal(s)
	if err != nil {
		return seen, fault.Wrap(fault.Internal, err, "encode state")
	}
	revision, err := d.store.Put(ctx, platformapi.PutRequest{
		Key: stateKey, Value: value, IfRevision: &seen.revision,
	})
	if err != nil {
		return seen, err
	}
	return versionedState{State: s, revision: revision, readRevision: revision}, nil
}

// transition returns the next state; changed is false if there is nothing to
// do.
type transition func(s State) (next State, changed bool, err error)

// update reads the state, applies c and writes the result. After a conflict or
// a write with an unknown outcome it starts again from a new read, so c must
// be idempotent: if its write already took effect, it finds nothing to do.
func (d stateStore) update(ctx context.Context, c transition) (versionedState, error) {
	var last error
	for range maxWriteAttempts {
		seen, err := d.read(ctx)
		if err == nil {
			var next State
			var changed bool
			if next, changed, err = c(seen.State); err != nil || !changed {
				return seen, err
			}
			var written versionedState
			if written, err = d.write(ctx, seen, next); err == nil {
				return written, nil
			}
		}
		last = err
		if errors.Is(err, context.Canceled) || (!fault.Is(err, fault.Conflict) && !fault.Is(err, fault.StoreUnavailable)) {
			return versionedState{}, err
		}
		if d.clock.Sleep(ctx, writeRetryDelay) != nil {
			break
		}
	}
	return versionedState{}, last
}
