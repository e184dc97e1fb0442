package runner

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"time"

	"cicadawell.dev/fleet/bundle"
	"cicadawell.dev/fleet/fault"
	"cicadawell.dev/fleet/runnerapi"
	"cicadawell.dev/router/link"
)

// maxStateBytes bounds a runner's state.
const maxStateBytes = 1 << 20

// Orders reads the state of model engines and sends them orders. Each call
// opens a connection of its own, which is reset when no answer comes.
type Orders interface {
	// State asks the runner what it has loaded.
	State(ctx context.Context, of bundle.Runner) (runnerapi.State, error)
	// Order sends an order. It calls guard directly before the write and
	// returns its error without a write when guard fails. A runner that saw
	// a higher fencing number fails it with the kind Conflict.
	Order(ctx context.Context, to bundle.Runner, o runnerapi.Order, guard func() error) (runnerapi.State, error)
}

// NewOrders returns a client for orders. The kernel gives up bytes that the
// runner does not acknowledge within delivery, also while this process is
// stopped.
func NewOrders(delivery time.Duration) Orders {
	return &orders{dialer: net.Dialer{Timeout: dialTimeout}, delivery: delivery}
}

type orders struct {
	dialer   net.Dialer
	delivery time.Duration
}

// State asks the runner what it has loaded.
func (o *orders) State(ctx context.Context, of bundle.Runner) (runnerapi.State, error) {
	return o.exchange(ctx, of, http.MethodGet, runnerapi.PathState, nil, func() error { return nil })
}

// Order sends an order.
func (o *orders) Order(ctx context.Context, to bundle.Runner, order runnerapi.Order, guard func() error) (runnerapi.State, error) {
	body, err := json.Marshal(order)
	if err != nil {
		return runnerapi.State{}, fault.Wrap(fault.Internal, err, "encode order").WithOutcome(fault.NotRun)
	}
	return o.exchange(ctx, to, http.MethodPost, runnerapi.PathOrders, body, guard)
}

// exchange sends one request over a new connection and decodes the state that
// answers it.
func (o *orders) exchange(ctx context.Context, to bundle.Runner, method, path string, body []byte, guard func() error) (runnerapi.State, error) {
	var none runnerapi.State
	req, err := http.NewRequestWithContext(ctx, method, "http://"+to.Address+path, bytes.NewReader(body))
	if err != nil {
		return none, fault.Wrap(fault.Internal, err, "build request").WithOutcome(fault.NotRun)
	}
	req.Header.Set("Content-Type", "application/json")
	req.Close = true
	var data bytes.Buffer
	if err := req.Write(&data); err != nil {
		return none, fault.Wrap(fault.Internal, err, "build request").WithOutcome(fault.NotRun)
	}
	conn, err := o.dialer.DialContext(ctx, "tcp", to.Address)
	if err != nil {
		return none, fault.Wrap(fault.RunnerFailed, err, "connect to runner %s", to.ID).WithOutcome(fault.NotRun)
	}
	defer resetConn(conn)
	defer context.AfterFunc(ctx, func() { resetConn(conn) })()
	if err := o.prepare(ctx, conn); err != nil {
		return none, err
	}
	if err := guard(); err != nil {
		return none, err
	}
	if n, err := conn.Write(data.Bytes()); err != nil {
		return none, unsent(err, to, n)
	}
	resp, err := link.ReadAnswer(conn, req)
	if err != nil {
		return none, fault.Wrap(fault.OutcomeUnknown, err, "no answer from runner %s", to.ID)
	}
	defer func() {
		// Closing the body reads it to its end, unless its connection is closed.
		resetConn(conn)
		_ = resp.Body.Close()
	}()
	return readState(resp, to)
}

// prepare bounds what the connection and the kernel do for the request by the
// deadline of ctx: unacknowledged bytes are not sent again after it.
func (o *orders) prepare(ctx context.Context, conn net.Conn) error {
	deadline, ok := ctx.Deadline()
	if !ok {
		return fault.New(fault.Internal, "order without a deadline").WithOutcome(fault.NotRun)
	}
	if err := conn.SetDeadline(deadline); err != nil {
		return fault.Wrap(fault.Internal, err, "set deadline").WithOutcome(fault.NotRun)
	}
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return nil
	}
	if err := tcp.SetLinger(0); err != nil {
		return fault.Wrap(fault.Internal, err, "set linger").WithOutcome(fault.NotRun)
	}
	if err := setUserTimeout(tcp, o.delivery); err != nil {
		return fault.Wrap(fault.Internal, err, "set user timeout").WithOutcome(fault.NotRun)
	}
	return nil
}

func readState(resp *http.Response, of bundle.Runner) (runnerapi.State, error) {
	var state runnerapi.State
	if resp.StatusCode != http.StatusOK {
		return state, refusedOrder(resp, of)
	}
	if err := json.NewDecoder(limited(resp.Body, maxStateBytes)).Decode(&state); err != nil {
		return state, fault.Wrap(fault.OutcomeUnknown, err, "read the state of runner %s", of.ID)
	}
	return state, nil
}

func refusedOrder(resp *http.Response, of bundle.Runner) error {
	var refusal runnerapi.Refusal
	if err := json.NewDecoder(limited(resp.Body, maxRefusalBytes)).Decode(&refusal); err != nil {
		return fault.Wrap(fault.OutcomeUnknown, err, "read the refusal of runner %s", of.ID)
	}
	cause := &RefusedError{Runner: of.ID, Status: resp.StatusCode, Refusal: refusal}
	switch {
	case refusal.Ran:
		return fault.Wrap(fault.OutcomeUnknown, cause, "order")
	case resp.StatusCode == http.StatusConflict:
		return fault.Wrap(fault.Conflict, cause, "order")
	}
	return fault.Wrap(fault.RunnerFailed, cause, "order").WithOutcome(fault.NotRun)
}

// resetConn closes a connection and drops what it still has to send.
func resetConn(conn net.Conn) { _ = conn.Close() }
