package continuity

import (
	"context"
	"slices"
	"time"

	"cicadawell.dev/fleet/fault"
	"cicadawell.dev/router/inventory"
)

const (
	// keepInterval is the time between two looks at the records.
	keepInterval = 250 * time.Millisecond
	// writers is how many instances write a record: its owner, and each of its successors if
	// those before it haven't for writerLead.
	writers    = 4
	writerLead = 3 * time.Second
	// rewriteAfter is how long the watch may take to show a write.
	rewriteAfter = 2 * time.Second
	// writeTimeout bounds the write of a record.
	writeTimeout = time.Second
)

func (t *tracker) Run(ctx context.Context) error {
	for t.clk.Sleep(ctx, keepInterval) == nil {
		for _, r := range t.dueRecords() {
			t.write(ctx, r)
		}
	}
	return nil
}

// dueRecords returns the records that this instance has to write.
func (t *tracker) dueRecords() []inventory.ServiceVersions {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clk.Now()
	t.renew(now)
	var out []inventory.ServiceVersions
	for service, v := range t.services {
		want, late, due := v.due(now)
		if !due {
			continue
		}
		rank := slices.Index(t.owners.Ranked(ownerKeyPrefix+service, writers), t.self)
		if rank < 0 || late < time.Duration(rank)*writerLead || now.Sub(v.writtenAt) < rewriteAfter {
			continue
		}
		v.writtenAt = now
		out = append(out, inventory.ServiceVersions{Service: service, Versions: want, Revision: v.revision})
	}
	return out
}

func (t *tracker) write(ctx context.Context, r inventory.ServiceVersions) {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	err := t.records.Write(ctx, r)
	switch {
	case err == nil:
		t.log.Info("versions recorded", "service", r.Service, "versions", r.Versions)
	case !fault.Is(err, fault.Conflict): // the watch shows what another instance wrote
		t.log.Warn("versions not recorded", "service", r.Service, "versions", r.Versions, "error", err)
	}
}
