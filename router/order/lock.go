package order

import (
	"context"
	"encoding/json"

	"cicadawell.dev/fleet/fault"
	"cicadawell.dev/fleet/platformapi"
)

// renewDivisor sets when a lease is renewed: after 1/renewDivisor of its TTL.
const renewDivisor = 3

// acquire ensures that this instance holds the runner's lock under a lease that
// has time left.
func (d *driver) acquire(ctx context.Context, self, runner string) error {
	if err := d.ensureLease(ctx); err != nil {
		return err
	}
	h, ok := d.session.Lock(runner)
	if ok && !h.Invalidated {
		return nil
	}
	if err := d.releaseLock(ctx, runner); err != nil {
		return err
	}
	return d.createKey(ctx, self, runner)
}

// ensureLease requests a lease, or renews the present one when a third of its
// TTL has passed. A lease that has expired by this instance's clock is renewed
// as well: if the store still has it, no other instance has held its keys in
// the meantime. While the store does not answer, the remaining time of the
// lease is used.
func (d *driver) ensureLease(ctx context.Context) error {
	start := d.clk.Now()
	if d.session.Lease == 0 {
		lease, err := d.store.Grant(ctx, d.limits.LeaseTTL)
		if err != nil {
			return err
		}
		d.session = d.session.WithLease(lease, start, d.limits)
		return nil
	}
	if d.session.Remaining(start) > d.limits.LeaseTTL*(renewDivisor-1)/renewDivisor {
		return nil
	}
	err := d.store.KeepAlive(ctx, d.session.Lease)
	switch {
	case err == nil:
		d.session = d.session.WithRenewal(start, d.limits)
		return nil
	case fault.Is(err, fault.NotFound):
		d.session = Session{}
	case d.session.Remaining(d.clk.Now()) > d.limits.lockDelay():
		return nil
	}
	return err
}

// createKey creates the runner's key. When the answer to the write is lost, or
// the key exists already, it reads back which instance holds the key.
func (d *driver) createKey(ctx context.Context, self, runner string) error {
	value, err := json.Marshal(holder{Instance: self})
	if err != nil {
		return fault.Wrap(fault.Internal, err, "encode holder")
	}
	absent := uint64(0)
	revision, err := d.store.Put(ctx, platformapi.PutRequest{
		Key: keyOf(runner), Value: value, IfRevision: &absent, Lease: d.session.Lease,
	})
	if err == nil {
		d.session = d.session.WithLock(runner, revision, d.clk.Now(), d.limits)
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
	if entry.Lease != d.session.Lease {
		var current holder
		if err := json.Unmarshal(entry.Value, &current); err != nil {
			return fault.Wrap(fault.Internal, err, "decode holder").WithField(runner)
		}
		return fault.New(fault.Conflict, "instance %s holds the orders to the runner", current.Instance).WithField(runner)
	}
	d.session = d.session.WithLock(runner, entry.Revision, d.clk.Now(), d.limits)
	return nil
}

// releaseUnneeded releases the locks that are not needed and whose orders can no
// longer take effect. It renews the lease while locks remain.
func (d *driver) releaseUnneeded(ctx context.Context, needed map[string]bool) {
	for _, r := range d.session.LockedRunners() {
		h, _ := d.session.Lock(r)
		if needed[r] && !h.Invalidated || d.clk.Now().Before(h.ReadyAt) {
			continue
		}
		_ = d.releaseLock(ctx, r) // the next pass tries again
	}
	if len(d.session.LockedRunners()) > 0 {
		_ = d.ensureLease(ctx) // the next pass tries again
	}
}

// releaseLock deletes the key of a runner if its lock is held. A delete that did
// not reach the store leaves the lock invalidated. A delete without an answer
// may take effect at any time until the lease ends, even on a key that this
// instance still counts as its own, so the whole lease is abandoned in that
// case.
func (d *driver) releaseLock(ctx context.Context, runner string) error {
	h, ok := d.session.Lock(runner)
	if !ok {
		return nil
	}
	_, err := d.store.Delete(ctx, platformapi.DeleteRequest{Key: keyOf(runner), IfRevision: &h.FencingToken})
	switch {
	case err == nil || fault.Is(err, fault.Conflict):
		d.session = d.session.WithoutLock(runner)
		return nil
	case fault.Of(err).Outcome() == fault.NotRun:
		d.session = d.session.WithInvalidated(runner)
	default:
		d.session = Session{}
	}
	return err
}

// shutDown releases the locks when Run ends. An unanswered order can still
// arrive, so its key stays until the lease expires.
func (d *driver) shutDown(ctx context.Context) {
	d.releaseUnneeded(ctx, nil)
	if d.session.Lease != 0 && len(d.session.LockedRunners()) == 0 {
		_ = d.store.Revoke(ctx, d.session.Lease) // on failure the lease expires by itself
	}
	d.session = Session{}
}
