package continuity

import (
	"maps"
	"slices"
	"time"

	"cicadawell.dev/router/era"
	"cicadawell.dev/router/inventory"
	"cicadawell.dev/router/routing"
)

const (
	// settleTime is how long a version is known before streams begin at it, so that all
	// instances know it by then.
	settleTime = 1500 * time.Millisecond
	// minRetention and retentionFactor times the longest timeout of a service's streams
	// is how long a version counts after its last runner is gone. Callers may take a
	// stream up several times within their own deadline, which isn't known.
	minRetention    = 30 * time.Second
	retentionFactor = 2
)

// sighting is what is known of one version of a service.
type sighting struct {
	// since is when the version was first seen; zero if it was there at the start, and no other
	// one had runners.
	since time.Time
	// absentSince is when its last runner was found to be gone; zero while there is one.
	absentSince time.Time
}

// serviceVersions are the versions of one service that may have begun streams which
// callers still take up. It isn't safe for concurrent use.
type serviceVersions struct {
	retention time.Duration
	seen      map[string]sighting
	// recorded are the versions in the store, at a revision; zero without a record.
	recorded []string
	revision era.Revision
	// dueSince is since when the record differs from what it should be; zero if it doesn't.
	dueSince time.Time
	// writtenAt is when this instance last wrote the record.
	writtenAt time.Time
}

// update applies a snapshot with the given versions of runners.
func (v *serviceVersions) update(present map[string]bool, record inventory.ServiceVersions, first bool, now time.Time) {
	v.recorded, v.revision = record.Versions, record.Revision
	since := now
	if first && len(present) <= 1 {
		since = time.Time{} // of several, this instance can't tell which of them others know
	}
	for version := range present {
		s, known := v.seen[version]
		if !known {
			s.since = since
		}
		s.absentSince = time.Time{}
		v.seen[version] = s
	}
	for _, version := range record.Versions {
		if _, known := v.seen[version]; !known {
			v.seen[version] = sighting{since: since, absentSince: now}
		}
	}
	for version, s := range v.seen {
		if !present[version] && s.absentSince.IsZero() {
			s.absentSince = now
			v.seen[version] = s
		}
	}
}

// wanted returns the versions that the record should have: none if a single one serves
// and no other has for the retention.
func (v *serviceVersions) wanted(now time.Time) []string {
	var out []string
	for version, s := range v.seen {
		if s.absentSince.IsZero() || now.Sub(s.absentSince) < v.retention {
			out = append(out, version)
		}
	}
	if len(out) < 2 {
		return nil
	}
	slices.Sort(out)
	return out
}

// forget drops the versions that are neither wanted nor recorded.
func (v *serviceVersions) forget(now time.Time) {
	maps.DeleteFunc(v.seen, func(version string, s sighting) bool {
		return !s.absentSince.IsZero() && now.Sub(s.absentSince) >= v.retention && !slices.Contains(v.recorded, version)
	})
}

// view returns what calls need to know.
func (v *serviceVersions) view() serviceView {
	out := serviceView{retention: v.retention, single: len(v.seen) == 1, beginsAt: make(map[string]time.Time, len(v.seen))}
	present := 0
	for version, s := range v.seen {
		out.only, out.beginsAt[version] = version, s.since
		if !s.since.IsZero() {
			out.beginsAt[version] = s.since.Add(settleTime)
		}
		if s.absentSince.IsZero() {
			present++
		} else if at := s.absentSince.Add(v.retention); at.After(out.singleAt) {
			out.singleAt = at
		}
	}
	if present > 1 {
		out.singleAt = time.Time{}
	}
	return out
}

// due reports for how long the record has differed from the wanted one, and that.
func (v *serviceVersions) due(now time.Time) ([]string, time.Duration, bool) {
	want := v.wanted(now)
	if slices.Equal(want, v.recorded) {
		v.dueSince = time.Time{}
		return nil, 0, false
	}
	if v.dueSince.IsZero() {
		v.dueSince = now
	}
	return want, now.Sub(v.dueSince), true
}

// resumableServices returns the services with streams that callers may take up, with the
// retention of their versions.
func resumableServices(t *routing.Table) map[string]time.Duration {
	out := make(map[string]time.Duration)
	if t == nil {
		return out
	}
	for _, r := range t.Config().Routes {
		if r.Kind != routing.Streaming || !r.Resumable {
			continue
		}
		for _, s := range r.Shares {
			out[s.Service] = max(out[s.Service], minRetention, retentionFactor*r.Timeout)
		}
	}
	return out
}
