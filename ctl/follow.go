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

// followPeriod is the time between two looks at a followed step.
const followPeriod = 250 * time.Millisecond

// look returns a line that describes a step and whether it is complete.
type look func() (line string, done bool, err error)

// follow prints each new line until the step is complete. A server that does
// not answer is asked again.
func (s *session) follow(l look) error {
	deadline := s.env.Clock.Now().Add(s.patience)
	last := ""
	for {
		line, done, err := l()
		if err != nil && !errors.Is(err, client.ErrUnreachable) {
			return err
		}
		if err != nil {
			line = "no server answers"
		}
		if line != last {
			s.note("%s", line)
			last = line
		}
		if done {
			return nil
		}
		if s.env.Clock.Now().After(deadline) {
			return eris.Wrap(errIncomplete, last)
		}
		if err := s.env.Clock.Sleep(s.ctx, followPeriod); err != nil {
			return eris.Wrap(err, "follow")
		}
	}
}

// waitingText names those that hold a step, or is empty.
func waitingText(all []operatorapi.Waiting) string {
	const shown = 5
	var parts []string
	for i, w := range all {
		if i == shown {
			parts = append(parts, fmt.Sprintf("and %d more", len(all)-shown))
			break
		}
		parts = append(parts, fmt.Sprintf("%s (%s)", w.Instance, w.Reason))
	}
	return strings.Join(parts, ", ")
}
