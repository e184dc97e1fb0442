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

// stateKey holds the State.
const stateKey = "bundle/state"

// Pauses between tries to write the state.
const (
	readBackPause = 50 * time.Millisecond
	maxTries      = 20
)

// Store is the part of the platform's store that rolls need.
type Store interface {
	Get(ctx context.Context, key string) (entry *platformapi.Entry, revision uint64, err error)
	Put(ctx context.Context, put platformapi.PutRequest) (revision uint64, err error)
	Delete(ctx context.Context, del platformapi.DeleteRequest) (revision uint64, err error)
	Watch(ctx context.Context, watch platformapi.WatchRequest) (platformapi.WatchResponse, error)
}

// document reads and writes the State.
type document struct {
	store Store
	clock clock.Clock
}

// versioned is a state with the revision of its key; zero means that the key
// does not exist.
type versioned struct {
	State
	revision uint64
	// asOf is the store's revision at which this was read.
	asOf uint64
}

func (d document) read(ctx context.Context) (versioned, error) {
	entry, asOf, err := d.store.Get(ctx, stateKey)
	if err != nil {
		return versioned{}, err
	}
	v, err := decodeState(entry)
	v.asOf = asOf
	return v, err
}

func decodeState(entry *platformapi.Entry) (versioned, error) {
	if entry == nil {
		return versioned{}, nil
	}
	v := versioned{revision: entry.Revision}
	if err := json.Unmarshal(entry.Value, &v.State); err != nil {
		return v, fault.Wrap(fault.Internal, err, "decode %s", stateKey)
	}
	return v, nil
}

// write stores s if the key still has the revision of seen.
func (d document) write(ctx context.Context, seen versioned, s State) (versioned, error) {
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
	return versioned{State: s, revision: revision, asOf: revision}, nil
}

// change returns the next state, or the same one when there is nothing to do.
type change func(s State) (next State, changed bool, err error)

// update reads the state, changes it and writes it back. After a conflict or a
// lost answer it reads the state again: changes may be repeated, so that one
// whose write took effect then finds nothing to do.
func (d document) update(ctx context.Context, c change) (versioned, error) {
	var last error
	for range maxTries {
		seen, err := d.read(ctx)
		if err == nil {
			var next State
			var changed bool
			if next, changed, err = c(seen.State); err != nil || !changed {
				return seen, err
			}
			var written versioned
			if written, err = d.write(ctx, seen, next); err == nil {
				return written, nil
			}
		}
		last = err
		if errors.Is(err, context.Canceled) || (!fault.Is(err, fault.Conflict) && !fault.Is(err, fault.StoreUnavailable)) {
			return versioned{}, err
		}
		if d.clock.Sleep(ctx, readBackPause) != nil {
			break
		}
	}
	return versioned{}, last
}
