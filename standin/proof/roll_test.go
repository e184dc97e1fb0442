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

// rollTimeout limits a roll once every instance answers or is no longer listed.
const rollTimeout = 60 * time.Second

// operatorClient calls the operator API of single routers.
type operatorClient struct {
	t *testing.T
	s *scene.Fleet
	// latest is the last bundle version seen in force on each router.
	latest map[*scene.Process]uint64
}

// call returns the HTTP status, or zero when there is no valid answer.
func (d *operatorClient) call(p *scene.Process, key, method, path string, message, answer any) int {
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

// status returns the bundle status of a router and fails the test when the router
// has gone back to an older version.
func (d *operatorClient) status(p *scene.Process) (operatorapi.BundleStatus, bool) {
	var st operatorapi.BundleStatus
	ok := d.call(p, scene.OperatorKey, http.MethodGet, operatorapi.PathBundle, nil, &st) == http.StatusOK
	if ok && st.InForceHere < d.latest[p] {
		d.t.Errorf("the router at %s went back from version %d to %d", p.Operators, d.latest[p], st.InForceHere)
	}
	if ok {
		d.latest[p] = st.InForceHere
	}
	return st, ok
}

// writeSigned writes a draft bundle with a rate limit for the first team and signs
// it off. It returns the draft and the request that rolls it.
func (d *operatorClient) writeSigned(rate float64) (operatorapi.Version, operatorapi.StepRequest) {
	is := is.New(d.t)
	b := d.s.Bundle
	b.Teams = append([]bundle.Team(nil), b.Teams...)
	b.Teams[0].RatePerSecond = rate
	content, err := json.Marshal(b)
	is.NoErr(err)
	var v operatorapi.Version
	w := operatorapi.WriteRequest{WriteID: newID(), Bundle: content}
	p := d.s.Live()[0]
	is.Equal(d.call(p, scene.OperatorKey, http.MethodPost, operatorapi.PathDrafts, w, &v), http.StatusOK)
	step := operatorapi.StepRequest{StepID: newID(), Digest: v.Digest, ExpectedVersion: b.Version}
	is.Equal(d.call(p, scene.ApproverKey, http.MethodPost, versionPath(operatorapi.PathSign, v.Version), step, &v), http.StatusOK)
	step.StepID = newID()
	return v, step
}

func newID() string { return uuid.Must(uuid.NewV7()).String() }

func versionPath(path string, version uint64) string {
	return strings.Replace(path, "{version}", strconv.FormatUint(version, 10), 1)
}

// waitStatuses polls the live routers until done returns true for the statuses of
// those that answered.
func (d *operatorClient) waitStatuses(what string, done func(all []operatorapi.BundleStatus) bool) {
	d.t.Helper()
	c := clock.System()
	for end := c.Now().Add(rollTimeout); c.Now().Before(end); {
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

// acceptedEverywhere returns a condition: all live routers have the last accepted
// version in force, it is newer than previous, and no roll is in progress.
func (d *operatorClient) acceptedEverywhere(previous uint64) func(all []operatorapi.BundleStatus) bool {
	return func(all []operatorapi.BundleStatus) bool {
		for _, st := range all {
			if st.Stale || st.Rolling != 0 || st.InForce <= previous || st.InForceHere != st.InForce {
				return false
			}
		}
		return len(all) == len(d.s.Live())
	}
}

// Two operators start a roll at once through two routers, and the router of the
// first is killed during it. One version takes effect on all routers, the other
// stays a draft, and no router goes back to an older version.
func TestRacingRollsAndAKilledDriver(t *testing.T) {
	is := is.New(t)
	s := startFleet(t)
	d := &operatorClient{t: t, s: s, latest: map[*scene.Process]uint64{}}
	before := s.Bundle.Version
	first, rollFirst := d.writeSigned(901)
	second, rollSecond := d.writeSigned(902)
	var group sync.WaitGroup
	var codes [2]int
	group.Go(func() {
		codes[0] = d.call(s.Routers[0], scene.OperatorKey, http.MethodPost, versionPath(operatorapi.PathRoll, first.Version), rollFirst, &operatorapi.Version{})
		s.Routers[0].Kill()
	})
	group.Go(func() {
		codes[1] = d.call(s.Routers[1], scene.OperatorKey, http.MethodPost, versionPath(operatorapi.PathRoll, second.Version), rollSecond, &operatorapi.Version{})
	})
	group.Wait()
	is.True((codes[0] == http.StatusOK) != (codes[1] == http.StatusOK)) // exactly one roll is accepted
	d.waitStatuses("a version accepted on all routers", d.acceptedEverywhere(before))
	st, ok := d.status(s.Live()[0])
	is.True(ok)
	for _, v := range []operatorapi.Version{first, second} {
		r, found := st.Find(v.Version)
		is.True(found) // neither version is lost
		is.True((r.Phase == operatorapi.Accepted) == (st.InForce == v.Version))
	}
	t.Logf("versions %d and %d, answers %v, in force %d", first.Version, second.Version, codes, st.InForce)
}

// A roll waits for a paused router and names it, unless the router is no longer
// in the platform's list. A resumed router catches up with the new bundle and
// accepts no requests under the older one.
func TestRollAndAPausedRouter(t *testing.T) {
	is := is.New(t)
	s := startFleet(t)
	d := &operatorClient{t: t, s: s, latest: map[*scene.Process]uint64{}}
	before := s.Bundle.Version
	v, roll := d.writeSigned(903)
	paused := s.Routers[2]
	paused.Signal(syscall.SIGSTOP)
	is.Equal(d.call(s.Routers[1], scene.OperatorKey, http.MethodPost, versionPath(operatorapi.PathRoll, v.Version), roll, &v), http.StatusOK)
	var blocked bool
	c := clock.System()
	for end := c.Now().Add(rollTimeout); c.Now().Before(end); {
		st, ok := d.status(s.Routers[1])
		is.True(ok)
		if blocked = len(st.Pending) > 0; blocked {
			is.Equal(st.Pending[0].Instance, "router3")
			is.Equal(st.InForce, before)
			t.Logf("roll waits for %s: %s", st.Pending[0].Instance, st.Pending[0].Reason)
		}
		if blocked || st.InForce == v.Version && st.Rolling == 0 {
			break
		}
		is.NoErr(c.Sleep(t.Context(), 100*time.Millisecond))
	}
	paused.Signal(syscall.SIGCONT)
	d.waitStatuses("the version accepted on all routers", d.acceptedEverywhere(before))
}
