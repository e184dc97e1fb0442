package main

import (
	"errors"
	"fmt"
	"strings"
	"time"

	"cicadawell.dev/ctl/client"
	"cicadawell.dev/fleet/operatorapi"
	"github.com/rotisserie/eris"
)

// pollInterval is the time between two polls of a followed step.
const pollInterval = 250 * time.Millisecond

// pollFunc returns a line that describes the progress of a step, and whether the
// step is complete.
type pollFunc func() (line string, done bool, err error)

// follow polls a step and prints each new progress line until the step is
// complete or followTimeout has passed. It retries while no server responds.
func (s *session) follow(poll pollFunc) error {
	deadline := s.env.Clock.Now().Add(s.followTimeout)
	last := ""
	for {
		line, done, err := poll()
		if err != nil && !errors.Is(err, client.ErrUnreachable) {
			return err
		}
		if err != nil {
			line = "no server answers"
		}
		if line != last {
			s.printProgress("%s", line)
			last = line
		}
		if done {
			return nil
		}
		if s.env.Clock.Now().After(deadline) {
			return eris.Wrap(errIncomplete, last)
		}
		if err := s.env.Clock.Sleep(s.ctx, pollInterval); err != nil {
			return eris.Wrap(err, "follow")
		}
	}
}

// waitingText lists the instances that delay a step and their reasons. It returns
// "" if there are none.
func waitingText(waiting []operatorapi.PendingInstance) string {
	const shown = 5
	var parts []string
	for i, w := range waiting {
		if i == shown {
			parts = append(parts, fmt.Sprintf("and %d more", len(waiting)-shown))
			break
		}
		parts = append(parts, fmt.Sprintf("%s (%s)", w.Instance, w.Reason))
	}
	return strings.Join(parts, ", ")
}
