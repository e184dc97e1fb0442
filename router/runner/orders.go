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

// maxStateBytes bounds the body of a state response.
const maxStateBytes = 1 << 20

// Orders reads the state of model engines and sends them orders. Each call
// opens its own connection and resets it at the end, so that a request without
// a response is not delivered later.
type OrderClient interface {
	// State returns the runner's state: its loaded models and its highest
	// fencing number.
	State(ctx context.Context, from bundle.Runner) (runnerapi.State, error)
	// Order sends an order. It calls guard directly before the write; if guard
	// fails, Order returns its error and writes nothing. It fails with kind
	// Conflict if the runner has seen a higher fencing number.
	SendOrder(ctx context.Context, to bundle.Runner, o runnerapi.Order, guard func() error) (runnerapi.State, error)
}

// NewOrders returns a client for orders. The kernel drops a connection whose
// data the runner does not acknowledge within ackTimeout, even while this
// process is suspended.
func NewOrderClient(ackTimeout time.Duration) OrderClient {
	return &orders{dialer: net.Dialer{Timeout: dialTimeout}, ackTimeout: ackTimeout}
}

type orders struct {
	dialer     net.Dialer
	ackTimeout time.Duration
}

// State returns the runner's state.
func (o *orders) State(ctx context.Context, from bundle.Runner) (runnerapi.State, error) {
	return o.exchange(ctx, from, http.MethodGet, runnerapi.PathState, nil, func() error { return nil })
}

// Order sends an order.
func (o *orders) SendOrder(ctx context.Context, to bundle.Runner, order runnerapi.Order, guard func() error) (runnerapi.State, error) {
	body, err := json.Marshal(order)
	if err != nil {
		return runnerapi.State{}, fault.Wrap(fault.Internal, err, "encode order").WithOutcome(fault.NotRun)
	}
	return o.exchange(ctx, to, http.MethodPost, runnerapi.PathOrders, body, guard)
}

// exchange sends one request over a new connection and decodes the state in
// the response.
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
	if err := o.configureConn(ctx, conn); err != nil {
		return none, err
	}
	if err := guard(); err != nil {
		return none, err
	}
	if n, err := conn.Write(data.Bytes()); err != nil {
		return none, writeError(err, to, n)
	}
	resp, err := link.ReadResponse(conn, req)
	if err != nil {
		return none, fault.Wrap(fault.OutcomeUnknown, err, "no answer from runner %s", to.ID)
	}
	defer func() {
		// Body.Close would drain the body, so the connection is closed first.
		resetConn(conn)
		_ = resp.Body.Close()
	}()
	return readState(resp, to)
}

// configureConn sets the connection's deadline to that of ctx and keeps the
// kernel from delivering the request late: closing the connection discards
// unsent data, and the kernel stops retransmitting after ackTimeout.
func (o *orders) configureConn(ctx context.Context, conn net.Conn) error {
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
	if err := setUserTimeout(tcp, o.ackTimeout); err != nil {
		return fault.Wrap(fault.Internal, err, "set user timeout").WithOutcome(fault.NotRun)
	}
	return nil
}

func readState(resp *http.Response, from bundle.Runner) (runnerapi.State, error) {
	var state runnerapi.State
	if resp.StatusCode != http.StatusOK {
		return state, orderRefusalError(resp, from)
	}
	if err := json.NewDecoder(limitReader(resp.Body, maxStateBytes)).Decode(&state); err != nil {
		return state, fault.Wrap(fault.OutcomeUnknown, err, "read the state of runner %s", from.ID)
	}
	return state, nil
}

func orderRefusalError(resp *http.Response, from bundle.Runner) error {
	var refusal runnerapi.ErrorResponse
	if err := json.NewDecoder(limitReader(resp.Body, maxRefusalBytes)).Decode(&refusal); err != nil {
		return fault.Wrap(fault.OutcomeUnknown, err, "read the refusal of runner %s", from.ID)
	}
	cause := &RefusedError{Runner: from.ID, Status: resp.StatusCode, Refusal: refusal}
	switch {
	case refusal.MayHaveRun:
		return fault.Wrap(fault.OutcomeUnknown, cause, "order")
	case resp.StatusCode == http.StatusConflict:
		return fault.Wrap(fault.Conflict, cause, "order")
	}
	return fault.Wrap(fault.RunnerFailed, cause, "order").WithOutcome(fault.NotRun)
}

// resetConn closes a connection. With the linger time of 0 that configureConn
// sets, the kernel discards unsent data and sends a reset.
func resetConn(conn net.Conn) { _ = conn.Close() }
