package detour

import (
	"fmt"
	"io"
)

// WriteMetrics writes the state and the counters of a dialer.
func WriteMetrics(w io.Writer, d Dialer) {
	s := d.Stats()
	cutOff := 0
	if s.CutOff {
		cutOff = 1
	}
	// net/http handles failures of the probe's writer.
	_, _ = fmt.Fprintf(w, "cicadawell_cut_off %d\n", cutOff)
	_, _ = fmt.Fprintf(w, "cicadawell_cuts_total %d\n", s.Cuts)
	_, _ = fmt.Fprintf(w, "cicadawell_cut_off_checks_total %d\n", s.Checks)
	_, _ = fmt.Fprintf(w, "cicadawell_detours_total %d\n", s.Through)
	_, _ = fmt.Fprintf(w, "cicadawell_detours_failed_total %d\n", s.Failed)
	_, _ = fmt.Fprintf(w, "cicadawell_detours_for_others_total %d\n", s.ForOthers)
}
