package rollout

import "time"

const (
	// RecentWindow is the time that Input.Recent covers.
	RecentWindow = 2 * time.Second
	// applyLag is the time from a decision until most answers that are reported belong
	// to calls that were sent under it.
	applyLag = 600 * time.Millisecond
	// maxPeriod is the time, and minPeriodAnswers the number of answers, after which a new
	// period begins at the same share, so that the last one before the share grows shows
	// the present state of the old versions. Short periods of few answers say little.
	maxPeriod        = 3 * time.Second
	minPeriodAnswers = 100
	// maxPeriods bounds the periods that History keeps; the oldest ones are merged.
	maxPeriods = 16
)

// Period has the answers of a time in which one share was in force. Answers are only
// compared within a period: a fault of all runners that begins as the share grows hits
// more of the candidate's answers than of the baseline's.
type Period struct {
	Share float64
	// Ramping is set for the steps after the phase at a small share.
	Ramping  bool
	Evidence Evidence
}

// History divides the cumulative evidence of a rollout by time. The zero value has none.
// It is not safe for concurrent use.
type History struct {
	snapshots []snapshot
	periods   []Period
	// total is the evidence that was added last, begun and since that and the time at
	// the begin of the last period.
	total, begun Evidence
	since        time.Duration
}

type snapshot struct {
	at    time.Duration
	total Evidence
}

// Add records the cumulative evidence at a time since the order of the state in force.
func (h *History) Add(elapsed time.Duration, s State, total Evidence) {
	at := s.Before + elapsed
	if n := len(h.snapshots); n > 0 {
		// Before may fall short of the time of the last evidence under the earlier order.
		at = max(at, h.snapshots[n-1].at)
	}
	h.total = total
	h.snapshots = append(h.snapshots, snapshot{at, total})
	for len(h.snapshots) > 1 && h.snapshots[1].at <= at-RecentWindow {
		h.snapshots = h.snapshots[1:]
	}
	last := len(h.periods) - 1
	long := at-h.since >= maxPeriod && total.Minus(h.begun).Overall().Baseline.Answers >= minPeriodAnswers
	switch {
	case last < 0:
		h.since = at
		h.periods = []Period{{Share: s.Share, Ramping: s.Ramping}}
	case h.periods[last].Share != s.Share && elapsed >= s.ShareSince+applyLag, long:
		h.since = at
		h.periods[last].Evidence = total.Minus(h.begun)
		h.begun = total
		h.periods = append(h.periods, Period{Share: s.Share, Ramping: s.Ramping})
	}
	h.merge()
}

// merge combines the two oldest periods if there are too many.
func (h *History) merge() {
	if len(h.periods) <= maxPeriods {
		return
	}
	h.periods[1].Evidence = h.periods[0].Evidence.Plus(h.periods[1].Evidence)
	h.periods = h.periods[1:]
}

// Fill sets the evidence of an input to that of the history.
func (h *History) Fill(in *Input) {
	in.Total = h.total
	in.Recent = h.total
	if n := len(h.snapshots); n > 0 && h.snapshots[n-1].at-h.snapshots[0].at >= RecentWindow {
		in.Recent = h.total.Minus(h.snapshots[0].total)
	}
	in.Periods = append([]Period(nil), h.periods...)
	if last := len(in.Periods) - 1; last >= 0 {
		in.Periods[last].Evidence = h.total.Minus(h.begun)
	}
}
