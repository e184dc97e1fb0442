// Package proof_test runs whole fleets of real processes through failures and
// checks the results against the records of the runners, not against the answers
// of the routers under test.
package proof_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"cicadawell.dev/fleet/bundle"
	"cicadawell.dev/fleet/clock"
	"cicadawell.dev/fleet/fault"
	"cicadawell.dev/standin/endpoint"
	"cicadawell.dev/standin/load"
	"cicadawell.dev/standin/runner"
	"cicadawell.dev/standin/scene"
	"github.com/google/uuid"
	"github.com/matryer/is"
)

// bin is the folder with the binaries, built once for all tests.
var bin string

func TestMain(m *testing.M) {
	os.Exit(run(m))
}

func run(m *testing.M) int {
	dir, err := os.MkdirTemp("", "cicadawell-proof-")
	if err != nil {
		panic(err)
	}
	defer os.RemoveAll(dir)
	out, err := exec.Command("go", "build", "-o", dir, "../../router", "../../ctl", "..").CombinedOutput()
	if err != nil {
		panic(fmt.Sprintf("build: %v: %s", err, out))
	}
	bin = dir
	return m.Run()
}

// routerCount is the number of instances in each fleet.
const routerCount = 5

// fleetSlots limits how many fleets run at once on one machine.
var fleetSlots = make(chan struct{}, 3)

// startFleet starts a small fleet, in parallel with those of other tests, and
// closes it at the end of the test. Every process that still runs then has to
// exit by itself.
func startFleet(t *testing.T) *scene.Fleet {
	t.Helper()
	t.Parallel()
	fleetSlots <- struct{}{}
	t.Cleanup(func() { <-fleetSlots })
	is := is.New(t)
	plan, err := scene.PlanOf("demo")
	is.NoErr(err)
	plan.Routers = routerCount
	s, err := scene.Start(t.Context(), bin, plan)
	t.Cleanup(func() {
		s.KeepLogs = t.Failed()
		if err := s.Close(); err != nil {
			t.Errorf("process did not exit cleanly: %v", err)
		}
	})
	is.NoErr(err)
	return s
}

// callerPool holds callers of one pipeline. Each caller sends its next call as
// soon as its last one has ended.
type callerPool struct {
	s      *scene.Fleet
	client *load.Client
	// transport counts the calls that routers cut off.
	transport *countingTransport
	group     sync.WaitGroup
	quit      chan struct{}
	// nextRouter is the round-robin counter over the live routers.
	nextRouter atomic.Uint64
	// excluded is a router that the load balancer has removed, or nil.
	excluded atomic.Pointer[scene.Process]

	mu sync.Mutex
	// callEnded is closed and replaced at the end of each call.
	callEnded  chan struct{}
	replies    []load.Reply
	keyedCalls []load.CallOutcome
	// consecutive is the number of answered calls since the last unanswered
	// one; waitRecovery resets it.
	consecutive int
}

// workload describes the calls that callers send.
type workload struct {
	pipeline string
	team     string
	deadline time.Duration
	stream   bool
	tokens   int
	// retryUnknown retries calls with an unknown outcome, with the same key.
	retryUnknown bool
}

const (
	// maxRetries and retryPause leave enough time for retries of calls with
	// an unknown outcome to reach the instance that takes over the keys of a
	// killed home instance.
	maxRetries = 3
	retryPause = 5 * time.Second
)

var (
	bookings        = workload{pipeline: scene.Book, team: "paying1", deadline: 8 * time.Second}
	retriedBookings = workload{pipeline: scene.Book, team: "paying1", deadline: 8 * time.Second, retryUnknown: true}
	answers         = workload{pipeline: scene.Answer, team: "paying1", deadline: 8 * time.Second, tokens: 4}
	streams         = workload{pipeline: scene.Answer, team: "paying1", deadline: 20 * time.Second, tokens: 120, stream: true}
)

// startCallers starts n callers with one workload.
func startCallers(t *testing.T, s *scene.Fleet, n int, w workload) *callerPool {
	t.Helper()
	c := &callerPool{s: s, quit: make(chan struct{}), callEnded: make(chan struct{})}
	c.transport = &countingTransport{RoundTripper: &http.Transport{MaxIdleConnsPerHost: n}}
	c.client = &load.Client{
		HTTP:  &http.Client{Transport: c.transport},
		Clock: clock.System(), Key: scene.TeamKey, Next: c.pickRouter,
	}
	p := s.Pipeline(w.pipeline) // read once, as a test may roll another bundle meanwhile
	for i := range n {
		c.group.Go(func() {
			for j := 0; !c.stopped(); j++ {
				c.callOnce(w, p, fmt.Sprintf("%s %d %d", w.pipeline, i, j))
			}
		})
	}
	t.Cleanup(func() { c.stop() })
	return c
}

// pickRouter returns the address of the next live router in round-robin order.
func (c *callerPool) pickRouter() string {
	live := c.s.Live()
	p := live[c.nextRouter.Add(1)%uint64(len(live))]
	if p == c.excluded.Load() {
		p = live[c.nextRouter.Add(1)%uint64(len(live))]
	}
	return p.Address
}

func (c *callerPool) stopped() bool {
	select {
	case <-c.quit:
		return true
	default:
		return false
	}
}

// callOnce makes one call with all its retries.
func (c *callerPool) callOnce(w workload, p bundle.Pipeline, text string) {
	call := load.Call{
		Team: w.team, Pipeline: p, Deadline: w.deadline, Stream: w.stream, RetryRefused: true,
		Work: runner.Work{Text: text, Tokens: w.tokens},
	}
	if !call.Pipeline.Idempotent() {
		call.Key = uuid.Must(uuid.NewV7()).String()
	}
	reply := c.client.Do(context.Background(), call)
	for range maxRetries {
		if !w.retryUnknown || reply.Response != nil || reply.Outcome != fault.Unknown {
			break
		}
		_ = clock.System().Sleep(context.Background(), retryPause) // never cancelled
		reply = mergeRetry(reply, c.client.Do(context.Background(), call))
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.replies = append(c.replies, reply)
	if call.Key != "" {
		c.keyedCalls = append(c.keyedCalls, load.CallOutcome{Team: call.Team, Key: call.Key, Outcome: reply.Outcome, NotRun: reply.NotRunRequests})
	}
	c.consecutive++
	if reply.Response == nil {
		c.consecutive = 0
	}
	close(c.callEnded)
	c.callEnded = make(chan struct{})
}

// mergeRetry returns the result for a caller after a retry of a call with an
// unknown outcome. A refused retry leaves the outcome unknown, because it does not
// show whether the first attempt ran.
func mergeRetry(first, retry load.Reply) load.Reply {
	retry.NotRunRequests = append(first.NotRunRequests, retry.NotRunRequests...)
	if retry.Response == nil {
		retry.Outcome = fault.Unknown
	}
	return retry
}

// waitTimeout limits every wait for calls.
const waitTimeout = 60 * time.Second

// waitUntil waits until done returns true. It calls done under the lock, first at
// once and then after each call.
func (c *callerPool) waitUntil(t *testing.T, what string, done func() bool) {
	t.Helper()
	limit := clock.System().After(waitTimeout)
	for {
		c.mu.Lock()
		ok, ended := done(), c.callEnded
		c.mu.Unlock()
		if ok {
			return
		}
		select {
		case <-ended:
		case <-limit:
			t.Fatalf("no %s within %v; %s", what, waitTimeout, c.summary())
		}
	}
}

// waitCalls waits until n more calls have ended.
func (c *callerPool) waitCalls(t *testing.T, n int) {
	t.Helper()
	c.mu.Lock()
	want := len(c.replies) + n
	c.mu.Unlock()
	c.waitUntil(t, fmt.Sprintf("%d more calls", n), func() bool { return len(c.replies) >= want })
}

// waitRecovery waits until n consecutive calls from now on are answered.
func (c *callerPool) waitRecovery(t *testing.T, n int) {
	t.Helper()
	c.mu.Lock()
	c.consecutive = 0
	c.mu.Unlock()
	c.waitUntil(t, fmt.Sprintf("%d answers in a row", n), func() bool { return c.consecutive >= n })
}

// callFor lets the callers go on for the duration of a fault.
func (c *callerPool) callFor(t *testing.T, d time.Duration) {
	t.Helper()
	is.New(t).NoErr(clock.System().Sleep(t.Context(), d))
}

// stop starts no further calls and waits for those in flight.
func (c *callerPool) stop() {
	if !c.stopped() {
		close(c.quit)
	}
	c.group.Wait()
}

// summary returns the number of replies by outcome and kind of error.
func (c *callerPool) summary() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	counts := map[string]int{}
	for _, r := range c.replies {
		switch {
		case r.Response != nil:
			counts["answered"]++
		default:
			counts[fmt.Sprintf("%s %s", r.Outcome, r.Kind)]++
		}
	}
	return fmt.Sprintf("%d calls: %v", len(c.replies), counts)
}

// unanswered returns the numbers of calls without an answer that are known not to
// have run and of those that may have run.
func (c *callerPool) unanswered() (notRun, unknown int) {
	for _, r := range c.replies {
		switch {
		case r.Response != nil:
		case r.Outcome == fault.NotRun:
			notRun++
		default:
			unknown++
		}
	}
	return notRun, unknown
}

// stopAndVerify stops the callers and the routers, so that no call is in flight,
// and checks the replies against the records of the runners, which it returns.
func stopAndVerify(t *testing.T, s *scene.Fleet, all ...*callerPool) (scene.OutcomeCounts, []runner.Record) {
	t.Helper()
	is := is.New(t)
	var outcomes []load.CallOutcome
	for _, c := range all {
		c.stop()
		outcomes = append(outcomes, c.keyedCalls...)
		for _, r := range c.replies {
			if r.Mismatch != "" {
				t.Errorf("wrong answer: %s", r.Mismatch)
			}
		}
		t.Log(c.summary())
	}
	var failed []error
	for _, p := range s.Live() {
		failed = append(failed, p.Stop())
	}
	is.NoErr(errors.Join(failed...)) // each router exits by itself and cuts off no call
	recs, err := s.Records(t.Context())
	is.NoErr(err)
	v := scene.CompareOutcomes(recs, outcomes)
	t.Logf("%+v", v)
	is.NoErr(v.Err())
	return v, recs
}

// stopRouter excludes a router from load balancing and stops it. The router has
// to exit by itself.
func stopRouter(t *testing.T, p *scene.Process, all ...*callerPool) {
	t.Helper()
	for _, c := range all {
		c.excluded.Store(p)
	}
	is.New(t).NoErr(p.Stop())
}

// slowBookings makes each booking slow enough that some are in flight at any
// moment.
func slowBookings(t *testing.T, s *scene.Fleet) {
	t.Helper()
	for _, id := range []string{"bookings1", "bookings2"} {
		setFaults(t, s.Runners[id], endpoint.Faults{SlowFactor: 20})
	}
}

// setFaults replaces the faults of a stand-in.
func setFaults(t *testing.T, p *scene.Process, f endpoint.Faults) {
	t.Helper()
	is.New(t).NoErr(p.Fault(t.Context(), f))
}
