package inventory

import (
	"context"
	"encoding/json"
	"testing"
	"testing/synctest"
	"time"

	"cicadawell.dev/fleet/clock"
	"cicadawell.dev/fleet/golden"
	"cicadawell.dev/fleet/random"
	"cicadawell.dev/router/era"
	"cicadawell.dev/router/instance"
	"cicadawell.dev/router/rollout"
	"cicadawell.dev/router/routing"
	"github.com/hashicorp/go-hclog"
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

// leadMesh is the network of an instance with one lead.
type leadMesh struct {
	instance.Mesh
	answer getResponse
	asked  []getRequest
}

func (m *leadMesh) Handle(string, instance.Handler) {}

func (m *leadMesh) Call(_ context.Context, _, _ string, params, result any) error {
	m.asked = append(m.asked, params.(getRequest))
	data, err := json.Marshal(m.answer)
	*result.(*json.RawMessage) = data
	return err
}

// noLeads marks nothing as unavailable.
type noLeads struct{ LeadFinder }

func (noLeads) MarkUnavailable(string) {}

// TestLeadInAnotherEra guards against changes of another era that are applied, and against a
// lead of an older build that sends its whole view again and again.
func TestLeadInAnotherEra(t *testing.T) {
	is := is.New(t)
	current := NewCurrent(clock.System())
	current.Advance(&Snapshot{Revision: era.New(2, 5)})
	f := NewFollower(clock.System(), nil, current, hclog.NewNullLogger())
	before := f.UpdateSince(mark{}).mark
	at := mark{Epoch: 3, Count: 4}
	m := &leadMesh{answer: getResponse{Revision: 900, Complete: true, Mark: at, Changes: []wireChange{{Revision: 900, ZoneOut: "z"}}}}
	e := NewExchange(clock.System(), "self", current, f, noLeads{}, m, nil, hclog.NewNullLogger()).(*exchange)
	for range 2 { // an older build states no era
		is.True(!e.followLeadOnce(t.Context(), "lead"))
	}
	is.Equal(m.asked[1].After, at)
	is.Equal(current.Load().Revision, era.New(2, 5))
	m.answer.Era = 3
	is.True(!e.followLeadOnce(t.Context(), "lead"))
	is.True(!current.Load().ZonesOut["z"])
	m.answer.Complete, m.answer.Changes, m.answer.ZonesOut = false, nil, []string{"z"}
	e.followLeadOnce(t.Context(), "lead")
	is.Equal(m.asked[3].After, mark{}) // for a snapshot
	is.Equal(current.Load().Revision, era.New(3, 900))
	is.True(current.Load().ZonesOut["z"])
	is.True(!f.UpdateSince(before).complete) // those that follow this instance need a snapshot, too
}

// TestInstanceThatStartsAsksAnotherOneOnce guards against an instance that knows the copy alone,
// such as the lead of a zone.
func TestInstanceThatStartsAsksAnotherOneOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		current := NewCurrent(clock.System())
		f := NewFollower(clock.System(), nil, current, hclog.NewNullLogger())
		m := &leadMesh{answer: getResponse{Revision: 5, Era: 2, EraMicros: 3_000_000, ZonesOut: []string{"z"}, ZonesCarried: []string{"z"}, HasRollouts: true, HasVersions: true}}
		e := NewExchange(clock.System(), "self", current, f, nil, m, random.NewSeeded(1), hclog.NewNullLogger())
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		done := make(chan error, 1)
		go func() { done <- e.Run(ctx) }()
		_ = clock.System().Sleep(ctx, time.Second)
		is.Equal(len(m.asked), 0) // nothing is known yet
		current.Advance(&Snapshot{Revision: era.New(2, 5), Instances: map[string]Instance{"self": {Name: "self"}, "other": {Name: "other"}}})
		is.NoErr(<-done)
		is.Equal(len(m.asked), 1)
		is.True(current.Load().ZonesOut["z"])
	})
}
