package ledger

import (
	"context"
	"encoding/json"
	"time"

	"cicadawell.dev/fleet/callerapi"
	"cicadawell.dev/fleet/fault"
	"cicadawell.dev/router/roster/viewlease"
)

// methodHandOver transfers a handover or a part of one.
const methodHandOver = "ledger.handOver"

const (
	// recordsPerMessage bounds the records in one message.
	recordsPerMessage = 256
	// bytesPerMessage bounds the bytes of the responses in one message. The
	// last response may exceed it.
	bytesPerMessage = 1 << 20
	// handoverMessageTimeout bounds one attempt to send a message of a
	// handover.
	handoverMessageTimeout = time.Second
	// endGracePeriod is how long after the deadline of a call that was
	// handed over the new home waits for the end of the call.
	endGracePeriod = time.Second
)

// handover is one message to the new home of slots. Most messages transfer the
// previous home's records of the slots: its homeEpoch of them has ended, so it
// starts none of their keys, and the calls begun in it no longer pass
// checkStillHome; only those that already passed may still write. Another
// message reports how a call that was handed over while it ran has ended (see
// sendEnd): it consists of one record only, with the other fields zero.
type handover struct {
	// Epoch is the epoch of the view that moved the slots.
	Epoch uint64           `json:"epoch"`
	From  viewlease.Member `json:"from"`
	// Records are keys that the sender ran or is still running, and keys that
	// earlier homes handed over to it.
	Records []keyRecord `json:"records,omitempty"`
	// Slots is set in the last message only, when all records of the slots
	// have been sent.
	Slots safeAfterBySlot `json:"slots,omitempty"`
}

// keyRecord is the state of one key, as sent in a handover.
type keyRecord struct {
	Team     string `json:"team"`
	Key      string `json:"key"`
	BodyHash string `json:"bodyHash"`
	Request  string `json:"request"`
	// Ended is false while the call runs.
	Ended bool `json:"ended"`
	// EndsBy is when the call has ended at the latest, as the sender knows
	// it. The receiver adds endGracePeriod.
	EndsBy          time.Time          `json:"until"`
	Response        callerapi.Response `json:"answer"`
	Error           *fault.Message     `json:"error,omitempty"`
	ResponseEvicted bool               `json:"forgotten,omitempty"`
}

// recordOf converts an entry to its wire form. The caller holds the table's mu.
func recordOf(e *entry) keyRecord {
	r := keyRecord{
		Team: e.teamKey.team, Key: e.teamKey.key, BodyHash: e.bodyHash, Request: e.request,
		Ended: e.ended(), EndsBy: e.endsBy, ResponseEvicted: e.responseEvicted,
	}
	if !r.Ended {
		return r
	}
	r.Response = e.response
	if e.err != nil {
		msg := fault.Of(e.err).Message()
		r.Error = &msg
	}
	return r
}

// collect returns the records of the slots, and marks the calls that still run
// so that their end is sent to successor. The end is sent after handoverDone is
// closed.
func (t *table) collect(slots safeAfterBySlot, successor string, handoverDone <-chan struct{}) []keyRecord {
	t.mu.Lock()
	defer t.mu.Unlock()
	var all []keyRecord
	for _, e := range t.entries {
		if _, ok := slots[e.slot]; !ok {
			continue
		}
		if !e.ended() {
			e.successor, e.handoverDone = successor, handoverDone
		}
		all = append(all, recordOf(e))
	}
	return all
}

// snapshot returns the record of one entry, in its present state.
func (t *table) snapshot(e *entry) keyRecord {
	t.mu.Lock()
	defer t.mu.Unlock()
	return recordOf(e)
}

// merge adds a record of another instance to the table. If this instance
// already knows how the call ended, or began the call itself, the record is
// ignored. So is the record of an unknown key whose call was not run or whose
// bucket was swept. merge returns the entry if the record ended it, so that the
// end can be sent on to its successor.
func (t *table) merge(r keyRecord) *entry {
	at, err := mintTime(r.Key)
	if err != nil {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	var callErr error
	if r.Error != nil {
		callErr = r.Error.Err()
	}
	notRun := callErr != nil && fault.Of(callErr).Outcome() == fault.NotRun
	s := teamKey{r.Team, r.Key}
	e, ok := t.entries[s]
	switch {
	case ok && (e.homeEpoch != 0 || e.ended()):
		return nil
	case !ok && (notRun || bucketOf(at) < t.sweptBefore):
		return nil
	case !ok:
		e = &entry{
			teamKey: s, minted: at, bodyHash: r.BodyHash, request: r.Request,
			slot: viewlease.SlotOf(r.Team, r.Key), endsBy: r.EndsBy.Add(endGracePeriod),
		}
		t.insert(e)
	}
	if !r.Ended {
		return nil
	}
	e.responseEvicted = r.ResponseEvicted
	t.finishLocked(e, r.Response, callErr)
	return e
}

// followView applies the newest view and starts to hand over the slots that
// moved away.
func (l *ledger) followView() {
	state := l.roster.State()
	l.slots.advance(state)
	l.startHandovers(state.Self)
}

// startHandovers starts the handovers that are due.
func (l *ledger) startHandovers(self viewlease.Member) {
	for _, h := range l.slots.takeOutgoing() {
		for successor, slots := range h.slots {
			l.runInBackground(func() { l.handOver(h.epoch, self, successor, slots) })
		}
	}
}

// handOver sends all records of the slots to successor, in messages of bounded
// size.
func (l *ledger) handOver(epoch uint64, self, successor viewlease.Member, slots safeAfterBySlot) {
	ctx, cancel := context.WithTimeout(l.ctx, l.handoverTimeout)
	defer cancel()
	handoverDone := make(chan struct{})
	defer close(handoverDone)
	message := handover{Epoch: epoch, From: self}
	size, sent := 0, 0
	for _, r := range l.table.collect(slots, successor.ID, handoverDone) {
		message.Records = append(message.Records, r)
		size += len(r.Response.Output)
		sent++
		if len(message.Records) < recordsPerMessage && size < bytesPerMessage {
			continue
		}
		if !l.deliver(ctx, successor.ID, message) {
			return
		}
		message.Records, size = nil, 0
	}
	message.Slots = slots
	if l.deliver(ctx, successor.ID, message) {
		l.log.Info("keys handed over", "instance", successor.ID, "epoch", epoch, "slots", len(slots), "keys", sent)
	}
}

// sendEnd tells successor how a call that was handed over while it ran has
// ended. It first waits until the handover has ended, since the end must not
// arrive before the handover's record of the running call. Otherwise, if the
// call ended as not run, the new home would ignore the end, as it has no entry
// for the key; the record would then create an entry that never gets an end.
func (l *ledger) sendEnd(successor string, e *entry) {
	<-e.handoverDone
	ctx, cancel := context.WithTimeout(l.ctx, l.handoverTimeout)
	defer cancel()
	l.deliver(ctx, successor, handover{Records: []keyRecord{l.table.snapshot(e)}})
}

// deliver sends one message until it is acknowledged or ctx ends. A message may
// arrive more than once: receiving it is idempotent.
func (l *ledger) deliver(ctx context.Context, to string, message handover) bool {
	for {
		within, cancel := context.WithTimeout(ctx, handoverMessageTimeout)
		err := l.mesh.Call(within, to, methodHandOver, message, nil)
		cancel()
		if err == nil {
			return true
		}
		if l.clock.Sleep(ctx, retryInterval) != nil {
			l.log.Warn("keys not handed over", "instance", to, "epoch", message.Epoch, "error", err)
			return false
		}
	}
}

func (l *ledger) handleHandOver(_ context.Context, from string, params json.RawMessage) (any, error) {
	var message handover
	if err := json.Unmarshal(params, &message); err != nil {
		return nil, fault.Wrap(fault.BadRequest, err, "handover from instance %q", from)
	}
	for _, r := range message.Records {
		if e := l.table.merge(r); e != nil && e.successor != "" {
			l.runInBackground(func() { l.sendEnd(e.successor, e) })
		}
	}
	if len(message.Slots) > 0 {
		l.slots.receiveHandover(handoverID{message.Epoch, message.From}, message.Slots)
		l.startHandovers(l.roster.State().Self)
	}
	return nil, nil
}
