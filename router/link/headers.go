package link

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// hopByHopHeaders are the hop-by-hop headers, which are never forwarded.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade",
}

// StripHopByHopHeaders removes the hop-by-hop headers, including those that the
// Connection header lists.
func StripHopByHopHeaders(h http.Header) {
	for _, line := range h.Values("Connection") {
		for name := range strings.SplitSeq(line, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		h.Del(name)
	}
}

// maxRetryAfter bounds a delay before it is converted.
const maxRetryAfter = 365 * 24 * time.Hour

// RetryAfter returns the delay in a Retry-After header: seconds, with fractions, or a
// date. A date is compared with that of the answer, since clocks differ. The result
// is zero if there is no valid delay.
func RetryAfter(h http.Header) time.Duration {
	value := strings.TrimSpace(h.Get("Retry-After"))
	if n, err := strconv.ParseFloat(value, 64); err == nil {
		if math.IsNaN(n) {
			return 0
		}
		return time.Duration(min(max(0, n*float64(time.Second)), float64(maxRetryAfter)))
	}
	end, err := http.ParseTime(value)
	if err != nil {
		return 0
	}
	now, err := http.ParseTime(h.Get("Date"))
	if err != nil {
		return 0
	}
	return min(max(0, end.Sub(now)), maxRetryAfter)
}
