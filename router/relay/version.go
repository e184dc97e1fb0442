package relay

import (
	"context"
	"errors"

	"cicadawell.dev/router/inventory"
)

// Streams knows which versions of the runners' software began streams. continuity.Tracker
// implements it.
type Streams interface {
	// MayBegin returns whether streams of a service may begin at a version now.
	MayBegin(service string) func(version string) bool
	// Began records the version that began a stream.
	Began(service, stream, version string)
	// VersionOf returns the version that began a stream whose prompt ends with a part, or
	// an error that says that the call has not run.
	VersionOf(ctx context.Context, service, stream, lastPart string) (string, error)
}

// anyVersion lets streams begin at any version, and knows of none where it began.
type anyVersion struct{}

func (anyVersion) MayBegin(string) func(string) bool { return func(string) bool { return true } }

func (anyVersion) Began(string, string, string) {}

func (anyVersion) VersionOf(context.Context, string, string, string) (string, error) {
	return "", errAnyVersion
}

// errAnyVersion says that a stream may go on at any version.
var errAnyVersion = errors.New("versions aren't tracked")

// maxRefreshes is how often the view is refreshed for a call. The answer to the first refresh
// may be an old one, if that was in flight already while the process stood still.
const maxRefreshes = 2

// bind binds a stream that its caller takes up to the version that began it.
func (x *relay) bind(s *streamRun) error {
	p := s.plan
	if p.call.ResumeAfter == "" || !p.route.Resumable {
		return nil
	}
	for range maxRefreshes {
		if x.Current.Age() <= maxDenyAge || !x.refresh(p.ctx, p.call) {
			break
		}
	}
	version, err := x.Streams.VersionOf(p.ctx, p.service, p.call.Resumes, p.call.Prompt.LastPart())
	switch {
	case errors.Is(err, errAnyVersion):
	case err != nil:
		return err
	default:
		s.origin.Store(&version)
	}
	return nil
}

// begun binds a stream to the version of the runner that sent its first event.
func (x *relay) begun(s *streamRun, r *inventory.Runner) {
	p := s.plan
	if !p.route.Resumable {
		return
	}
	stream := p.call.ID
	if p.call.ResumeAfter != "" && p.call.Resumes != "" {
		stream = p.call.Resumes
	}
	s.origin.Store(&r.Version)
	x.Streams.Began(p.service, stream, r.Version)
}

// accepts reports whether the stream may be sent to a runner of a version.
func (x *relay) accepts(s *streamRun, version string) bool {
	if !s.plan.route.Resumable {
		return true
	}
	if origin := s.origin.Load(); origin != nil {
		return *origin == version
	}
	return x.Streams.MayBegin(s.plan.service)(version)
}
