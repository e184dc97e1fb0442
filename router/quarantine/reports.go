package quarantine

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"sync"
	"time"

	"cicadawell.dev/fleet/fault"
	"cicadawell.dev/router/instance"
	"cicadawell.dev/router/inventory"
)

const (
	// ownerKey is the key by which the owners of the evidence are chosen.
	ownerKey = "quarantine"
	// ownerCount is the number of instances that collect the evidence, so that it
	// survives the loss of one.
	ownerCount = 2
	// maxDeliveries bounds the instances to which a report is sent until ownerCount
	// have it.
	maxDeliveries = 4
	// reportTimeout bounds the delivery of a report to one instance.
	reportTimeout = 300 * time.Millisecond
	// reportInterval is the minimum time between two reports of an instance.
	reportInterval = 50 * time.Millisecond
	// maxReported bounds the suspects, and the parts with answers, of a report.
	// maxReportedParts bounds the parts of its suspects, of which there is always one.
	maxReported      = 64
	maxReportedParts = 4096
	// maxRepeated bounds the earlier suspects that are reported again with new ones, for
	// owners that have just started.
	maxRepeated = 16
	// answeredInterval is the minimum time between two reports of the same part's
	// answers.
	answeredInterval = time.Second
	// probeTimeout bounds the check of a runner that may have crashed.
	probeTimeout = 200 * time.Millisecond
)

// Prober checks runners whose connections broke.
type Prober interface {
	// Accepts reports whether a runner accepts connections.
	Accepts(ctx context.Context, r *inventory.Runner) bool
}

// seenSuspect is a suspect with its runner and the time of the crash.
type seenSuspect struct {
	Suspect
	runner *inventory.Runner
	at     time.Time
}

// report is what an instance has observed.
type report struct {
	Suspects []Suspect `json:"suspects,omitempty"`
	// Answered has parts that are suspected or quarantined and had an answer.
	Answered []answeredPart `json:"answered,omitempty"`
}

type answeredPart struct {
	Service string `json:"service"`
	Part    string `json:"part"`
}

// reportAnswered reports parts that had an answer.
func (g *guard) reportAnswered(service string, parts []string) {
	if len(parts) == 0 {
		return
	}
	now := g.clk.Now()
	g.outbox.Lock()
	maps.DeleteFunc(g.reported, func(_ partKey, at time.Time) bool { return now.Sub(at) >= answeredInterval })
	for _, p := range parts {
		k := partKey{service, p}
		if _, ok := g.reported[k]; !ok && len(g.answered) < maxReported {
			g.answered[k], g.reported[k] = struct{}{}, now
		}
	}
	g.outbox.Unlock()
	wake(g.toSend)
}

// sendReports sends what was observed to the owners until ctx ends.
func (g *guard) sendReports(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.toSend:
		}
		g.deliver(ctx, g.takeReport(g.acceptingRunners(ctx)))
		_ = g.clk.Sleep(ctx, reportInterval)
	}
}

// acceptingRunners returns the identifiers of the runners of new suspects that accept
// connections, and so may not have crashed.
func (g *guard) acceptingRunners(ctx context.Context) map[string]bool {
	if g.prober == nil {
		return nil
	}
	g.outbox.Lock()
	runners := make(map[string]*inventory.Runner)
	for _, s := range g.suspects {
		runners[s.Runner] = s.runner
	}
	g.outbox.Unlock()
	accepting := make(map[string]bool)
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	var group sync.WaitGroup
	var mu sync.Mutex
	for id, r := range runners {
		group.Go(func() {
			ok := g.prober.Accepts(ctx, r)
			mu.Lock()
			defer mu.Unlock()
			accepting[id] = ok
		})
	}
	group.Wait()
	return accepting
}

// takeReport returns what is to be reported, and earlier suspects if there are new
// ones and room is left. New suspects that don't fit remain for the next report. The
// parts of suspects at runners that accept connections count as proven.
func (g *guard) takeReport(accepting map[string]bool) report {
	now := g.clk.Now()
	g.outbox.Lock()
	defer g.outbox.Unlock()
	var r report
	for k := range g.answered {
		r.Answered = append(r.Answered, answeredPart{Service: k.service, Part: k.part})
	}
	clear(g.answered)
	if len(g.suspects) == 0 {
		return r
	}
	for i, s := range g.suspects {
		if accepting[s.Runner] {
			g.suspects[i].Proven = s.Parts
		}
	}
	room := maxReportedParts
	add := func(s seenSuspect) {
		room -= len(s.Parts)
		s.Parts = withoutParts(s.Parts, g.answers.since(s.Service, s.Parts, s.at))
		s.AgeMillis = now.Sub(s.at).Milliseconds()
		if len(s.Parts) > 0 && now.Sub(s.at) < evidenceLife {
			r.Suspects = append(r.Suspects, s.Suspect)
		}
	}
	taken := 0
	for taken < len(g.suspects) && (taken == 0 || len(g.suspects[taken].Parts) <= room) {
		add(g.suspects[taken])
		taken++
	}
	for _, s := range slices.Backward(g.sent) {
		if len(s.Parts) > room {
			break
		}
		add(s)
	}
	g.sent = append(g.sent, g.suspects[:taken]...)
	g.sent = slices.Delete(g.sent, 0, max(0, len(g.sent)-maxRepeated))
	if g.suspects = slices.Clone(g.suspects[taken:]); len(g.suspects) > 0 {
		wake(g.toSend)
	}
	return r
}

// deliver sends a report to the owners. If one doesn't answer, its successor gets
// the report.
func (g *guard) deliver(ctx context.Context, r report) {
	tried := make(map[string]bool)
	for delivered := 0; delivered < ownerCount && len(tried) < maxDeliveries && ctx.Err() == nil; {
		var to string
		for _, name := range g.owners.Ranked(ownerKey, maxDeliveries) {
			if !tried[name] {
				to = name
				break
			}
		}
		if to == "" {
			if delivered == 0 && !tried[g.self] {
				g.accept(g.self, r)
			}
			return
		}
		tried[to] = true
		if to == g.self {
			g.accept(g.self, r)
			delivered++
			continue
		}
		calling, cancel := context.WithTimeout(ctx, reportTimeout)
		err := g.mesh.Call(instance.MarkIdempotent(calling), to, methodReport, r, nil)
		cancel()
		if err != nil {
			g.log.Info("owner of the quarantines doesn't answer", "owner", to, "error", err)
			g.owners.MarkUnavailable(to)
			continue
		}
		delivered++
	}
}

func (g *guard) serveReport(_ context.Context, from string, params json.RawMessage) (any, error) {
	var r report
	if err := json.Unmarshal(params, &r); err != nil {
		return nil, fault.Wrap(fault.BadRequest, err, "decode a report").WithField(methodReport)
	}
	g.accept(from, r)
	return nil, nil
}
