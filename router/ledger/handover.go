package ledger

import (
	"context"
	"encoding/json"
	"time"

	"cicadawell.dev/fleet/callerapi"
	"cicadawell.dev/fleet/fault"
	"cicadawell.dev/router/roster/hold"
)

// methodHandOver carries a handover or a part of one.
const methodHandOver = "ledger.handOver"

const (
	// recordsPerMessage bounds the records in one message.
	recordsPerMessage = 256
	// bytesPerMessage bounds the answers in one message, but for the last.
	bytesPerMessage = 1 << 20
	// handOverWithin bounds one message of a handover.
	handOverWithin = time.Second
	// overdueAfter is how long after its deadline the end of a call that
	// was handed over is waited for.
	overdueAfter = time.Second
)

// handover tells a new home what the home before knows of slots that moved
// between them. The giver does not run their keys any more.
type handover struct {
	Epoch uint64      `json:"epoch"`
	From  hold.Member `json:"from"`
	// Records are keys that were run, or still run, at the giver.
	Records []record `json:"records,omitempty"`
	// Slots stand in the last message alone: all records of theirs were
	// sent.
	Slots slotTimes `json:"slots,omitempty"`
}

// record is one key that an instance remembers.
type record struct {
	Team     string `json:"team"`
	Key      string `json:"key"`
	BodyHash string `json:"bodyHash"`
	Request  string `json:"request"`
	// Ended is false while the call runs, until Until at the latest.
	Ended     bool             `json:"ended"`
	Until     time.Time        `json:"until"`
	Answer    callerapi.Answer `json:"answer"`
	Error     *fault.Message   `json:"error,omitempty"`
	Forgotten bool             `json:"forgotten,omitempty"`
}

// recordOf returns the form of an entry on the wire. The caller holds the
// table's mu.
func recordOf(e *entry) record {
	r := record{
		Team: e.scope.team, Key: e.scope.key, BodyHash: e.bodyHash, Request: e.request,
		Ended: e.ended(), Until: e.until, Forgotten: e.forgotten,
	}
	if !r.Ended {
		return r
	}
	r.Answer = e.answer
	if e.err != nil {
		msg := fault.Of(e.err).Message()
		r.Error = &msg
	}
	return r
}

// collect returns the records of the slots, and has the calls that still run
// told to heir when they end.
// The end is told after handed is closed.
func (t *table) collect(slots slotTimes, heir string, handed <-chan struct{}) []record {
	t.mu.Lock()
	defer t.mu.Unlock()
	var all []record
	for _, e := range t.entries {
		if _, ok := slots[e.slot]; !ok {
			continue
		}
		if !e.ended() {
			e.heir, e.handed = heir, handed
		}
		all = append(all, recordOf(e))
	}
	return all
}

// record returns the record of one entry.
func (t *table) record(e *entry) record {
	t.mu.Lock()
	defer t.mu.Unlock()
	return recordOf(e)
}

// take remembers a record of another instance. What this one knows of the key's
// end goes before. It returns the entry when it ended now, for its heir.
func (t *table) take(r record) *entry {
	at, err := minted(r.Key)
	if err != nil {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	var ending error
	if r.Error != nil {
		ending = r.Error.Err()
	}
	notRun := ending != nil && fault.Of(ending).Outcome() == fault.NotRun
	s := scope{r.Team, r.Key}
	e, ok := t.entries[s]
	switch {
	case ok && (e.tenure != 0 || e.ended()):
		return nil
	case !ok && (notRun || bucketOf(at) < t.swept):
		return nil
	case !ok:
		e = &entry{
			scope: s, minted: at, bodyHash: r.BodyHash, request: r.Request,
			slot: hold.SlotOf(r.Team, r.Key), until: r.Until.Add(overdueAfter),
		}
		t.insert(e)
	}
	if !r.Ended {
		return nil
	}
	e.forgotten = r.Forgotten
	t.end(e, r.Answer, ending)
	return e
}

// followView takes in the newest view and hands over what moved away.
func (l *book) followView() {
	state := l.roster.State()
	l.coverage.advance(state)
	l.yield(state.Self)
}

// yield begins to hand over what moved away.
func (l *book) yield(self hold.Member) {
	for _, y := range l.coverage.drain() {
		for heir, slots := range y.slots {
			l.begin(func() { l.handOver(y.epoch, self, heir, slots) })
		}
	}
}

// handOver tells heir all about the slots, in messages of bounded size.
func (l *book) handOver(epoch uint64, self, heir hold.Member, slots slotTimes) {
	ctx, cancel := context.WithTimeout(l.ctx, l.handOverFor)
	defer cancel()
	handed := make(chan struct{})
	defer close(handed)
	message := handover{Epoch: epoch, From: self}
	size, sent := 0, 0
	for _, r := range l.table.collect(slots, heir.ID, handed) {
		message.Records = append(message.Records, r)
		size += len(r.Answer.Output)
		sent++
		if len(message.Records) < recordsPerMessage && size < bytesPerMessage {
			continue
		}
		if !l.deliver(ctx, heir.ID, message) {
			return
		}
		message.Records, size = nil, 0
	}
	message.Slots = slots
	if l.deliver(ctx, heir.ID, message) {
		l.log.Info("keys handed over", "instance", heir.ID, "epoch", epoch, "slots", len(slots), "keys", sent)
	}
}

// tell sends the end of a call that was handed over while it ran. The end must
// not overtake the handover: a call that was not run leaves no trace there.
func (l *book) tell(heir string, e *entry) {
	<-e.handed
	ctx, cancel := context.WithTimeout(l.ctx, l.handOverFor)
	defer cancel()
	l.deliver(ctx, heir, handover{Records: []record{l.table.record(e)}})
}

// deliver sends one message until it is taken in. Taking it in twice does no
// harm.
func (l *book) deliver(ctx context.Context, to string, message handover) bool {
	for {
		within, cancel := context.WithTimeout(ctx, handOverWithin)
		err := l.mesh.Call(within, to, methodHandOver, message, nil)
		cancel()
		if err == nil {
			return true
		}
		if l.clock.Sleep(ctx, settlePeriod) != nil {
			l.log.Warn("keys not handed over", "instance", to, "epoch", message.Epoch, "error", err)
			return false
		}
	}
}

func (l *book) handleHandOver(_ context.Context, from string, params json.RawMessage) (any, error) {
	var message handover
	if err := json.Unmarshal(params, &message); err != nil {
		return nil, fault.Wrap(fault.BadRequest, err, "handover from instance %q", from)
	}
	for _, r := range message.Records {
		if e := l.table.take(r); e != nil && e.heir != "" {
			l.begin(func() { l.tell(e.heir, e) })
		}
	}
	if len(message.Slots) > 0 {
		l.coverage.receive(handoverID{message.Epoch, message.From}, message.Slots)
		l.yield(l.roster.State().Self)
	}
	return nil, nil
}
