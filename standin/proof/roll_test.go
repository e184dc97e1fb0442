package proof_test

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"cicadawell.dev/fleet/bundle"
	"cicadawell.dev/fleet/clock"
	"cicadawell.dev/fleet/operatorapi"
	"cicadawell.dev/standin/scene"
	"github.com/google/uuid"
	"github.com/matryer/is"
)

// acceptLimit is how long a roll may take once all instances answer or are gone.
const acceptLimit = 60 * time.Second

// desk speaks with single routers as operators do.
type desk struct {
	t *testing.T
	s *scene.Scene
	// newest is the latest version seen in force on each router.
	newest map[*scene.Process]uint64
}

// call returns the status of the answer, or zero when there was none.
func (d *desk) call(p *scene.Process, key, method, path string, message, answer any) int {
	body, err := json.Marshal(message)
	is.New(d.t).NoErr(err)
	req, err := http.NewRequestWithContext(d.t.Context(), method, "http://"+p.Operators+path, bytes.NewReader(body))
	is.New(d.t).NoErr(err)
	req.Header.Set("Authorization", "Bearer "+key)
	client := http.Client{Timeout: 5 * time.Second}
	resp, err := client.Do(req)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	if json.NewDecoder(resp.Body).Decode(answer) != nil {
		return 0
	}
	return resp.StatusCode
}

// status asks a router, and checks that it never goes back to an older version.
func (d *desk) status(p *scene.Process) (operatorapi.BundleStatus, bool) {
	var st operatorapi.BundleStatus
	ok := d.call(p, scene.OperatorKey, http.MethodGet, operatorapi.PathBundle, nil, &st) == http.StatusOK
	if ok && st.InForceHere < d.newest[p] {
		d.t.Errorf("the router at %s went back from version %d to %d", p.Operators, d.newest[p], st.InForceHere)
	}
	if ok {
		d.newest[p] = st.InForceHere
	}
	return st, ok
}

// signed writes a bundle with this rate and signs it off.
func (d *desk) signed(rate float64) (operatorapi.Version, operatorapi.StepRequest) {
	is := is.New(d.t)
	b := d.s.Bundle
	b.Teams = append([]bundle.Team(nil), b.Teams...)
	b.Teams[0].RatePerSecond = rate
	content, err := json.Marshal(b)
	is.NoErr(err)
	var v operatorapi.Version
	w := operatorapi.WriteRequest{Write: id(), Bundle: content}
	p := d.s.Live()[0]
	is.Equal(d.call(p, scene.OperatorKey, http.MethodPost, operatorapi.PathDrafts, w, &v), http.StatusOK)
	step := operatorapi.StepRequest{Step: id(), Digest: v.Digest, ExpectedVersion: b.Version}
	is.Equal(d.call(p, scene.ApproverKey, http.MethodPost, at(operatorapi.PathSign, v.Version), step, &v), http.StatusOK)
	step.Step = id()
	return v, step
}

func id() string { return uuid.Must(uuid.NewV7()).String() }

func at(path string, version uint64) string {
	return strings.Replace(path, "{version}", strconv.FormatUint(version, 10), 1)
}

// await asks the live routers in turn until done says so.
func (d *desk) await(what string, done func(all []operatorapi.BundleStatus) bool) {
	d.t.Helper()
	c := clock.System()
	for end := c.Now().Add(acceptLimit); c.Now().Before(end); {
		var all []operatorapi.BundleStatus
		for _, p := range d.s.Live() {
			if st, ok := d.status(p); ok {
				all = append(all, st)
			}
		}
		if done(all) {
			return
		}
		is.New(d.t).NoErr(c.Sleep(d.t.Context(), 100*time.Millisecond))
	}
	d.t.Fatalf("not seen in time: %s", what)
}

// acceptedEverywhere reports whether all routers have the version accepted last
// in force.
func (d *desk) acceptedEverywhere(over uint64) func(all []operatorapi.BundleStatus) bool {
	return func(all []operatorapi.BundleStatus) bool {
		for _, st := range all {
			if st.Stale || st.Rolling != 0 || st.InForce <= over || st.InForceHere != st.InForce {
				return false
			}
		}
		return len(all) == len(d.s.Live())
	}
}

// Two operators roll at once over two routers, and the router of the first is
// killed in the middle. One version comes in force everywhere, the other stays
// as a draft, and no router ever goes back.
func TestRacingRollsAndAKilledDriver(t *testing.T) {
	is := is.New(t)
	s := start(t)
	d := &desk{t: t, s: s, newest: map[*scene.Process]uint64{}}
	before := s.Bundle.Version
	first, rollFirst := d.signed(901)
	second, rollSecond := d.signed(902)
	var group sync.WaitGroup
	var codes [2]int
	group.Go(func() {
		codes[0] = d.call(s.Routers[0], scene.OperatorKey, http.MethodPost, at(operatorapi.PathRoll, first.Version), rollFirst, &operatorapi.Version{})
		s.Routers[0].Kill()
	})
	group.Go(func() {
		codes[1] = d.call(s.Routers[1], scene.OperatorKey, http.MethodPost, at(operatorapi.PathRoll, second.Version), rollSecond, &operatorapi.Version{})
	})
	group.Wait()
	is.True((codes[0] == http.StatusOK) != (codes[1] == http.StatusOK)) // one loses
	d.await("a version accepted everywhere", d.acceptedEverywhere(before))
	st, ok := d.status(s.Live()[0])
	is.True(ok)
	for _, v := range []operatorapi.Version{first, second} {
		r, found := st.Find(v.Version)
		is.True(found) // no work is lost
		is.True((r.Phase == operatorapi.Accepted) == (st.InForce == v.Version))
	}
	t.Logf("versions %d and %d, answers %v, in force %d", first.Version, second.Version, codes, st.InForce)
}

// A paused router holds a roll, by name, or is gone from the platform's list;
// when it goes on it takes in nothing under the older bundle.
func TestRollAndAPausedRouter(t *testing.T) {
	is := is.New(t)
	s := start(t)
	d := &desk{t: t, s: s, newest: map[*scene.Process]uint64{}}
	before := s.Bundle.Version
	v, roll := d.signed(903)
	paused := s.Routers[2]
	paused.Signal(syscall.SIGSTOP)
	is.Equal(d.call(s.Routers[1], scene.OperatorKey, http.MethodPost, at(operatorapi.PathRoll, v.Version), roll, &v), http.StatusOK)
	var held bool
	c := clock.System()
	for end := c.Now().Add(acceptLimit); c.Now().Before(end); {
		st, ok := d.status(s.Routers[1])
		is.True(ok)
		if held = len(st.Waiting) > 0; held {
			is.Equal(st.Waiting[0].Instance, "router3")
			is.Equal(st.InForce, before)
			t.Logf("held: %s: %s", st.Waiting[0].Instance, st.Waiting[0].Reason)
		}
		if held || st.InForce == v.Version && st.Rolling == 0 {
			break
		}
		is.NoErr(c.Sleep(t.Context(), 100*time.Millisecond))
	}
	paused.Signal(syscall.SIGCONT)
	d.await("the version accepted everywhere", d.acceptedEverywhere(before))
}
