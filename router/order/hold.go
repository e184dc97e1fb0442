package order

import (
	"context"
	"encoding/json"

	"cicadawell.dev/fleet/fault"
	"cicadawell.dev/fleet/platformapi"
)

// renewShare is the part of a lease's time after which it is renewed.
const renewShare = 3

// hold makes sure that the runner is held under a lease with time left.
func (d *driver) hold(ctx context.Context, self, runner string) error {
	if err := d.keepLease(ctx); err != nil {
		return err
	}
	h, ok := d.tenure.Hold(runner)
	if ok && !h.Spent {
		return nil
	}
	if err := d.letGo(ctx, runner); err != nil {
		return err
	}
	return d.create(ctx, self, runner)
}

// keepLease asks for a lease, or renews the one there when a third of its time
// has passed. A lease that has run out by this instance's clock is renewed as
// well: when the store still has it, nobody else held its keys meanwhile. While
// the store does not answer, what is left of the lease is used.
func (d *driver) keepLease(ctx context.Context) error {
	start := d.clk.Now()
	if d.tenure.Lease == 0 {
		lease, err := d.store.Grant(ctx, d.limits.LeaseTTL)
		if err != nil {
			return err
		}
		d.tenure = d.tenure.WithLease(lease, start, d.limits)
		return nil
	}
	if d.tenure.Left(start) > d.limits.LeaseTTL*(renewShare-1)/renewShare {
		return nil
	}
	err := d.store.KeepAlive(ctx, d.tenure.Lease)
	switch {
	case err == nil:
		d.tenure = d.tenure.WithRenewal(start, d.limits)
		return nil
	case fault.Is(err, fault.NotFound):
		d.tenure = Tenure{}
	case d.tenure.Left(d.clk.Now()) > d.limits.wait():
		return nil
	}
	return err
}

// create creates the runner's key. When the answer to the write is lost, or
// someone holds the key, it reads back whose it is.
func (d *driver) create(ctx context.Context, self, runner string) error {
	value, err := json.Marshal(holder{Instance: self})
	if err != nil {
		return fault.Wrap(fault.Internal, err, "encode holder")
	}
	absent := uint64(0)
	revision, err := d.store.Put(ctx, platformapi.PutRequest{
		Key: keyOf(runner), Value: value, IfRevision: &absent, Lease: d.tenure.Lease,
	})
	if err == nil {
		d.tenure = d.tenure.WithHold(runner, revision, d.clk.Now(), d.limits)
		return nil
	}
	if fault.Of(err).Outcome() == fault.NotRun && !fault.Is(err, fault.Conflict) {
		return err
	}
	return d.readBack(ctx, runner)
}

func (d *driver) readBack(ctx context.Context, runner string) error {
	entry, _, err := d.store.Get(ctx, keyOf(runner))
	if err != nil {
		return err
	}
	if entry == nil {
		return fault.New(fault.Conflict, "the orders to the runner are free again").WithField(runner)
	}
	if entry.Lease != d.tenure.Lease {
		var other holder
		if err := json.Unmarshal(entry.Value, &other); err != nil {
			return fault.Wrap(fault.Internal, err, "decode holder").WithField(runner)
		}
		return fault.New(fault.Conflict, "instance %s holds the orders to the runner", other.Instance).WithField(runner)
	}
	d.tenure = d.tenure.WithHold(runner, entry.Revision, d.clk.Now(), d.limits)
	return nil
}

// release lets go of the runners that are not needed and whose orders have
// ended, and renews the lease for the rest.
func (d *driver) release(ctx context.Context, needed map[string]bool) {
	for _, r := range d.tenure.Held() {
		h, _ := d.tenure.Hold(r)
		if needed[r] && !h.Spent || d.clk.Now().Before(h.ReadyAt) {
			continue
		}
		_ = d.letGo(ctx, r) // the next pass tries again
	}
	if len(d.tenure.Held()) > 0 {
		_ = d.keepLease(ctx) // the next pass tries again
	}
}

// letGo deletes the key of a runner, if it is held. A delete that did not reach
// the store leaves the hold spent. One without an answer may take effect at any
// time until the lease ends, also on a key that this instance believes to hold;
// so the whole lease is given up then.
func (d *driver) letGo(ctx context.Context, runner string) error {
	h, ok := d.tenure.Hold(runner)
	if !ok {
		return nil
	}
	_, err := d.store.Delete(ctx, platformapi.DeleteRequest{Key: keyOf(runner), IfRevision: &h.Fencing})
	switch {
	case err == nil || fault.Is(err, fault.Conflict):
		d.tenure = d.tenure.WithoutHold(runner)
		return nil
	case fault.Of(err).Outcome() == fault.NotRun:
		d.tenure = d.tenure.WithSpent(runner)
	default:
		d.tenure = Tenure{}
	}
	return err
}

// leave lets all runners go at the end. An order that was not answered can
// still arrive; its key is then left to the end of the lease.
func (d *driver) leave(ctx context.Context) {
	d.release(ctx, nil)
	if d.tenure.Lease != 0 && len(d.tenure.Held()) == 0 {
		_ = d.store.Revoke(ctx, d.tenure.Lease) // else it runs out by itself
	}
	d.tenure = Tenure{}
}
