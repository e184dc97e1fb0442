package target

import (
	"math"
	"strings"
	"time"

	"cicadawell.dev/router/inventory"
	"github.com/cespare/xxhash/v2"
)

const (
	// brittleWindow is the time over which what a brittle runner turns away is counted.
	brittleWindow = time.Second
	// brittleMargin is by how many standard deviations the calls of all instances beyond
	// their places that are turned away stay below what a runner bears.
	brittleMargin = 6
	// turnedAwayPerProbe is how many calls a call beyond the room may have turned away: itself,
	// or those of the instances whose place it takes.
	turnedAwayPerProbe = 2
	// brittleSettleTime is how long after a runner said that it is brittle an answer that
	// doesn't is taken for an earlier answer that arrived later.
	brittleSettleTime = 500 * time.Millisecond
	// unusedPlaces is after which time room beyond the places that wasn't used isn't
	// counted on: others may have taken it.
	unusedPlaces = 2 * time.Second
	// maxProbeInterval bounds the time between two calls beyond the room.
	maxProbeInterval = time.Hour
	// minRoomWait and maxRoomWait bound the time after which there may be room again.
	minRoomWait, maxRoomWait = 10 * time.Millisecond, 2 * time.Second
	// freshReport is the weight above which the load that a runner reported tells whether
	// it has a free slot.
	freshReport = 0.25
)

// brittle is what this instance keeps to at a runner that falls over if it has to turn too
// many calls away, and that may let fewer wait than before. The zero value stands for a
// runner that isn't brittle.
//
// Each slot of the runner is the place of one instance, which the instances agree on
// without messages. As long as all have no more calls in flight than places, the runner
// turns nothing away, however few it lets wait. Room beyond the places is what has lately
// been accepted there; it grows by one call at a time, at random times so far apart that the
// calls of all instances that are turned away for it stay below what the runner bears.
type brittle struct {
	// perSecond is how many calls the runner bears to turn away in a second, from all
	// instances together; zero if it isn't brittle.
	perSecond float64
	// namedAt is when an answer last said so, of this runner or first of another one of its
	// service.
	namedAt time.Time
	// instances is how many share the runner; zero if that isn't known.
	instances int
	// places is how many slots of the runner are places of this instance.
	places int
	// room is how many calls of this instance the runner is taken to have room for.
	room int
	// fullAt is when the calls in flight last took all the room.
	fullAt time.Time
	// toGrow is how many further accepted calls let the room grow; zero if it wasn't full.
	toGrow int
	// probing is set from a call beyond the room until it is known to have been accepted.
	probing bool
	// nextProbe is the earliest time of the next such call.
	nextProbe time.Time
	// rejected has the times of the latest calls that were turned away, within a window.
	rejected []time.Time
	// unanswered is how many calls were sent and not accepted since the last of them: the
	// runner may turn them away, too.
	unanswered int
	// withdrawn counts the calls that were begun, not admitted, and haven't ended.
	withdrawn int
	// acceptedAt is the time of the last accepted call, and interval the moving average of
	// the time between two.
	acceptedAt time.Time
	interval   time.Duration
}

// brittleService is what a service's runners that haven't answered yet are taken to be.
type brittleService struct {
	perSecond float64
	// seenAt is when a runner that is brittle was last described.
	seenAt time.Time
}

// part returns how many calls of this instance the runner may turn away in a window.
func (b *brittle) part() int {
	if b.instances == 0 {
		return 1
	}
	return max(1, int(b.perSecond/float64(b.instances)))
}

// probeInterval returns the mean time between two calls of one of n instances beyond its room
// at a runner that bears to turn perSecond of all of them away.
func probeInterval(perSecond float64, n int) time.Duration {
	// The largest mean of a Poisson distribution whose mean and brittleMargin standard
	// deviations are borne.
	root := (math.Sqrt(brittleMargin*brittleMargin+4*perSecond) - brittleMargin) / 2
	mean := turnedAwayPerProbe * float64(brittleWindow) * float64(n) / (root * root)
	return time.Duration(min(mean, float64(maxProbeInterval)))
}

// usableRoom returns the room that can be counted on now.
func (b *brittle) usableRoom(now time.Time) int {
	if b.room > b.places && now.Sub(b.fullAt) > unusedPlaces {
		return b.places
	}
	return b.room
}

// pausedFor returns for how long the runner takes no further call beside those in flight.
func (b *brittle) pausedFor(now time.Time, inFlight int, hasFreeSlot bool) time.Duration {
	if b.perSecond == 0 {
		return 0
	}
	if d := b.spentFor(now); d > 0 {
		return d
	}
	room := b.usableRoom(now)
	if inFlight < room || (inFlight == room && b.mayProbe(now) && hasFreeSlot) {
		return 0
	}
	wait := b.interval
	if inFlight == 0 {
		wait = b.nextProbe.Sub(now)
	}
	return min(max(minRoomWait, wait), maxRoomWait)
}

// spentFor returns for how long nothing may be sent since the calls that were turned away,
// and those that may be, take this instance's part.
func (b *brittle) spentFor(now time.Time) time.Duration {
	n := b.rejectedWithin(now)
	if n == 0 || n+b.unanswered < b.part() {
		return 0
	}
	return b.rejected[len(b.rejected)-n].Add(brittleWindow).Sub(now)
}

// rejectedWithin returns how many calls were turned away in the window that ends now.
func (b *brittle) rejectedWithin(now time.Time) int {
	n := 0
	for i := len(b.rejected) - 1; i >= 0 && now.Sub(b.rejected[i]) < brittleWindow; i-- {
		n++
	}
	return n
}

func (b *brittle) mayProbe(now time.Time) bool {
	return !b.probing && b.instances > 0 && !now.Before(b.nextProbe)
}

// sent records a call that was admitted; inFlight includes it.
func (b *brittle) sent(now time.Time, inFlight int, random func() float64) {
	b.room = b.usableRoom(now)
	b.unanswered++
	if inFlight < b.room {
		return
	}
	b.fullAt = now
	switch {
	case inFlight > b.room:
		b.probing, b.toGrow = true, inFlight
		b.nextProbe = now.Add(time.Duration((0.5 + random()) * float64(probeInterval(b.perSecond, b.instances))))
	case b.toGrow == 0 && b.room < b.places:
		b.toGrow = inFlight
	}
}

// accepted records a call that the runner had room for.
func (b *brittle) accepted(now time.Time) {
	b.unanswered = max(0, b.unanswered-1)
	if !b.acceptedAt.IsZero() {
		b.interval += time.Duration(smoothing * float64(now.Sub(b.acceptedAt)-b.interval))
	}
	b.acceptedAt = now
	if b.toGrow == 0 {
		return
	}
	if b.toGrow--; b.toGrow == 0 {
		b.room, b.probing = b.room+1, false
	}
}

// turnedAway records a call that the runner had no room for; inFlight includes it.
func (b *brittle) turnedAway(now time.Time, inFlight int) {
	n := min(b.rejectedWithin(now), b.part()-1)
	b.rejected = append(b.rejected[len(b.rejected)-n:], now)
	b.unanswered = max(0, inFlight-1)
	// Room beyond the places is what others may have places for.
	b.room = min(b.usableRoom(now), max(b.places, inFlight-1))
	if !b.probing {
		b.room = min(b.room, b.places, max(1, inFlight-1))
	}
	b.toGrow, b.probing = 0, false
}

// restart has the room grow from one call again, since the runner failed.
func (b *brittle) restart() {
	b.room, b.toGrow, b.probing, b.unanswered = min(1, b.places), 0, false, 0
}

// inFlightBrittle returns the calls in flight without those that will be withdrawn. The
// caller holds mu.
func (t *Target) inFlightBrittle() int { return t.running - t.brittle.withdrawn }

// hasFreeSlot reports whether the runner may have a free slot, by its last report. The
// caller holds mu.
func (t *Target) hasFreeSlot(now time.Time) bool {
	return t.reported.weight(now) < freshReport || t.reported.others+float64(t.inFlightBrittle()) < float64(t.runner.Slots)
}

// admitBrittle reports whether a brittle runner has room for a call that has begun, and
// counts it. The caller holds mu.
func (s *set) admitBrittle(t *Target, now time.Time) bool {
	b := &t.brittle
	if b.perSecond == 0 {
		return true
	}
	n := max(0, t.inFlightBrittle()-1)
	if b.pausedFor(now, n, t.hasFreeSlot(now)) > 0 {
		b.withdrawn++
		return false
	}
	b.sent(now, n+1, s.fraction)
	return true
}

// fraction returns a random number from 0 to below 1.
func (s *set) fraction() float64 { return float64(s.random.IntN(1<<20)) / (1 << 20) }

// Brittle reports whether the runner is taken to be brittle.
func (s *set) Brittle(r *inventory.Runner) bool {
	t := s.Find(r.ID)
	if t == nil || incarnationOf(t.Runner()) != incarnationOf(r) {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.brittle.perSecond > 0
}

// observeBrittle applies what an answer says about how many calls the runner bears to turn
// away.
func (s *set) observeBrittle(t *Target, n Notice) {
	now := s.clk.Now()
	if n.Brittle > 0 {
		s.noteBrittle(t, min(n.Brittle, maxLimit), now)
	}
	if n.NotBrittle {
		s.endBrittle(t, now)
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case t.brittle.perSecond == 0:
	case n.TurnedAway:
		t.brittle.turnedAway(now, t.inFlightBrittle())
	case n.Accepted:
		t.brittle.accepted(now)
	}
}

// noteBrittle records that a runner said that it is brittle, and takes the other runners of
// its service to be so until they answer otherwise.
func (s *set) noteBrittle(t *Target, perSecond float64, now time.Time) {
	n, known := s.instances()
	if !known {
		n = 0
	}
	t.mu.Lock()
	b := &t.brittle
	old := b.perSecond
	if old > 0 {
		if b.instances == 0 {
			b.nextProbe = s.firstProbe(now, n, perSecond)
		}
		b.perSecond, b.namedAt, b.instances = perSecond, now, n
	}
	t.mu.Unlock()
	if old == perSecond {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	v := s.view.Load()
	service := t.Runner().Service
	if s.brittles[service].perSecond == 0 {
		s.log.Info("runners of a service are brittle", "service", service, "runner", t.Runner().ID, "perSecond", perSecond, "instances", n, "places", s.placesAt(v.snapshot, t.Runner()))
	}
	s.brittles[service] = brittleService{perSecond: perSecond, seenAt: now}
	for _, other := range v.all {
		if other.Runner().Service == service {
			s.beginBrittle(v.snapshot, other, now)
		}
	}
}

// beginBrittle has this instance treat a runner as its service's, unless it does so already.
// The caller holds mu.
func (s *set) beginBrittle(snapshot *inventory.Snapshot, t *Target, now time.Time) {
	perSecond := s.brittles[t.Runner().Service].perSecond
	if perSecond == 0 {
		return
	}
	n, known := s.instances()
	if !known {
		n = 0
	}
	places := s.placesAt(snapshot, t.Runner())
	t.mu.Lock()
	defer t.mu.Unlock()
	b := &t.brittle
	if b.perSecond > 0 {
		if b.room <= b.places {
			b.room = min(b.room, places)
		}
		b.places = places
		return
	}
	*b = brittle{perSecond: perSecond, namedAt: now, instances: n, places: places, room: places, fullAt: now}
	if total := t.reported.others + float64(t.running); t.reported.weight(now) >= freshReport && total > 0 {
		// The part of the slots that this instance uses already.
		used := float64(t.running) * min(1, float64(t.runner.Slots)/total)
		b.room = max(places, int(used))
	}
	b.nextProbe = s.firstProbe(now, n, perSecond)
}

// firstProbe returns a random time for the first call beyond the room. The instances learn of
// a brittle runner at about the same time and must not all try at once.
func (s *set) firstProbe(now time.Time, instances int, perSecond float64) time.Time {
	return now.Add(time.Duration(s.fraction() * float64(probeInterval(perSecond, instances))))
}

// endBrittle ends what was said of a runner, and of its service with its last runner.
func (s *set) endBrittle(t *Target, now time.Time) {
	t.mu.Lock()
	ended := t.brittle.perSecond > 0 && now.Sub(t.brittle.namedAt) >= brittleSettleTime
	if ended {
		t.brittle = brittle{}
	}
	t.mu.Unlock()
	if !ended {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	service := t.Runner().Service
	for _, other := range s.view.Load().all {
		if other.Runner().Service == service && other.isBrittle() {
			return
		}
	}
	delete(s.brittles, service)
	s.log.Info("runners of a service are no longer brittle", "service", service, "runner", t.Runner().ID)
}

func (t *Target) isBrittle() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.brittle.perSecond > 0
}

// updateBrittle applies what is known of brittle services to the targets of a new snapshot.
// The room of a runner that wasn't described before grows from one call. The caller holds mu.
func (s *set) updateBrittle(old *view, next *inventory.Snapshot, all map[string]*Target) {
	if len(s.brittles) == 0 {
		return
	}
	now := s.clk.Now()
	registered := !sameNames(old.snapshot.Instances, next.Instances)
	for id, t := range all {
		service := t.Runner().Service
		b, known := s.brittles[service]
		if !known {
			continue
		}
		b.seenAt = now
		s.brittles[service] = b
		isNew := old.all[id] != t
		if isNew || registered {
			s.beginBrittle(next, t, now)
		}
		if isNew {
			t.mu.Lock()
			t.brittle.restart()
			t.mu.Unlock()
		}
	}
	for service, b := range s.brittles {
		if now.Sub(b.seenAt) > leavingMemory {
			delete(s.brittles, service)
		}
	}
}

// placesAt returns how many slots of a runner are places of this instance. The instances
// that are registered have equal parts, and the rest of the slots goes to some of them by a
// hash.
func (s *set) placesAt(snapshot *inventory.Snapshot, r *inventory.Runner) int {
	slots, n, before := max(1, r.Slots), 1, 0
	own := placeHash(r.ID, s.instance)
	for name := range snapshot.Instances {
		if name == s.instance {
			continue
		}
		n++
		if h := placeHash(r.ID, name); h < own || (h == own && name < s.instance) {
			before++
		}
	}
	places := slots / n
	if before < slots%n {
		places++
	}
	return places
}

// sameNames reports whether two snapshots have the same instances.
func sameNames(a, b map[string]inventory.Instance) bool {
	if len(a) != len(b) {
		return false
	}
	for name := range a {
		if _, ok := b[name]; !ok {
			return false
		}
	}
	return true
}

func placeHash(runner, instance string) uint64 {
	return xxhash.Sum64String(strings.Join([]string{runner, instance}, "/"))
}
