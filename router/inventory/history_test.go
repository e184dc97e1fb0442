package inventory

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"cicadawell.dev/router/era"
	"cicadawell.dev/router/routing"
	"github.com/matryer/is"
)

func TestHistory(t *testing.T) {
	is := is.New(t)
	h := &history{epoch: 7}
	begin := h.mark()
	h.add([]Change{{RemovedRunner: "a"}, {RemovedRunner: "b"}})
	middle := h.mark()
	h.add([]Change{{RemovedRunner: "c"}})
	all, ok := h.since(begin)
	is.True(ok)
	is.Equal(len(all), 3)
	some, ok := h.since(middle)
	is.True(ok)
	is.Equal(some, []Change{{RemovedRunner: "c"}})
	none, ok := h.since(h.mark())
	is.True(ok)
	is.Equal(len(none), 0)
	for name, m := range map[string]mark{"unknown": {}, "another epoch": {Epoch: 8}, "ahead": {Epoch: 7, Count: 4}} {
		_, ok := h.since(m)
		if ok {
			t.Errorf("%s: reported as complete", name)
		}
	}
	for i := range maxHistory {
		h.add([]Change{{RemovedRunner: fmt.Sprint(i)}})
	}
	_, ok = h.since(begin)
	is.True(!ok) // its first changes are dropped
	latest := h.mark()
	h.restart()
	_, ok = h.since(latest)
	is.True(!ok)
}

// TestHistoryHoldsOneConfiguration guards against a memory that each change of the
// configuration fills further, until the process is killed.
func TestHistoryHoldsOneConfiguration(t *testing.T) {
	is := is.New(t)
	h := &history{epoch: 7}
	begin := h.mark()
	snapshot := &Snapshot{}
	for version := range int64(100) {
		table, err := routing.NewTable(routing.Config{Version: version + 1})
		is.NoErr(err)
		h.add([]Change{{Revision: era.New(0, 2*version), Table: table}, {Revision: era.New(0, 2*version+1), ZoneOut: fmt.Sprint("z", version)}})
	}
	changes, ok := h.since(begin)
	is.True(ok)
	is.Equal(len(changes), 200)
	tables := 0
	for _, c := range changes {
		if c.Table != nil {
			tables++
		}
	}
	is.Equal(tables, 1)
	snapshot = snapshot.with(changes, era.New(0, 200))
	is.Equal(snapshot.Table.Version(), int64(100))
	is.Equal(len(snapshot.ZonesOut), 100)
}

// TestDroppedConfigurationHasNoEffectAtOtherInstances sends a change whose configuration
// was dropped to another instance.
func TestDroppedConfigurationHasNoEffectAtOtherInstances(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	data, err := json.Marshal(getResponse{Changes: []wireChange{newWireChange(Change{Revision: era.New(0, 3)}, now)}})
	is.NoErr(err)
	var resp getResponse
	is.NoErr(json.Unmarshal(data, &resp))
	changes, err := resp.changes(nil, now)
	is.NoErr(err)
	is.Equal(len(changes), 1)
	before := &Snapshot{Revision: era.New(0, 3)}
	is.Equal(before.with(changes, era.New(0, 3)), before.with(nil, era.New(0, 3)))
}
