package inventory

import (
	"encoding/json"
	"testing"
	"time"

	"cicadawell.dev/fleet/golden"
	"cicadawell.dev/router/era"
	"cicadawell.dev/router/rollout"
	"cicadawell.dev/router/routing"
	"github.com/matryer/is"
)

// TestRevisionsAreSentAsOlderBuildsReadThem compares a snapshot and its changes with a golden
// file: each revision is a number, and the era stands once.
func TestRevisionsAreSentAsOlderBuildsReadThem(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	table, err := routing.NewTable(routing.Config{Version: 7})
	is.NoErr(err)
	at := func(n int64) era.Revision { return era.New(3, n) }
	changes := []Change{
		{Revision: at(1), Runner: &Runner{ID: "r", Revision: at(1), SeenAt: now}},
		{Revision: at(2), Instance: &Instance{Name: "i", Revision: at(2)}},
		{Revision: at(3), Quarantine: &Quarantine{ID: "q", Revision: at(3), SeenAt: now}},
		{Revision: at(4), RolloutOrder: &rollout.Order{Service: "s", Revision: at(4), SeenAt: now}},
		{Revision: at(5), Rollout: &rollout.State{Service: "s", OrderRevision: 4, OrderEra: 3, Revision: at(5), SeenAt: now}},
		{Revision: at(6), Versions: &ServiceVersions{Service: "s", Revision: at(6)}},
		{Revision: at(7), ReturnedZone: "z", SeenAt: now},
		{Revision: at(8), RemovedRunner: "gone"},
	}
	e := &exchange{}
	s := (&Snapshot{Table: table}).with(changes, at(8))
	sent := e.snapshotResponse(s, Freshness{ConfirmedAt: now}, getRequest{Version: 7}, now)
	text, err := json.MarshalIndent(sent, "", " ")
	is.NoErr(err)
	golden.Check(t, "testdata/snapshot_of_an_era.golden", string(text)+"\n")
	var received getResponse
	is.NoErr(json.Unmarshal(text, &received))
	got, err := received.snapshot(table, now)
	is.NoErr(err)
	is.Equal(got, s)

	sent = getResponse{Revision: 8, Era: 3, Complete: true}
	for _, c := range changes {
		sent.Changes = append(sent.Changes, newWireChange(c, now))
	}
	text, err = json.MarshalIndent(sent, "", " ")
	is.NoErr(err)
	golden.Check(t, "testdata/changes_of_an_era.golden", string(text)+"\n")
	received = getResponse{}
	is.NoErr(json.Unmarshal(text, &received))
	read, err := received.changes(table, now)
	is.NoErr(err)
	is.Equal((&Snapshot{Table: table}).with(read, at(8)), s)
}
