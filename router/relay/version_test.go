package relay_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"

	"cicadawell.dev/fleet/fault"
	"cicadawell.dev/router/inventory"
	"cicadawell.dev/router/relay"
	"cicadawell.dev/router/target"
	"github.com/matryer/is"
)

// fakeStreams knows the versions that began streams.
type fakeStreams struct {
	known map[string]string
	// unsettled is a version at which no stream may begin.
	unsettled string
}

func (f *fakeStreams) MayBegin(string) func(string) bool {
	return func(version string) bool { return version != f.unsettled }
}

func (f *fakeStreams) Began(_, stream, version string) {
	if f.known[stream] == "" {
		f.known[stream] = version
	}
}

func (f *fakeStreams) VersionOf(_ context.Context, _, stream, _ string) (string, error) {
	if version, ok := f.known[stream]; ok {
		return version, nil
	}
	return "", fault.New(fault.NoRunner, "unknown")
}

// mixed gives every second runner another version.
func mixed(s *inventory.Snapshot) {
	for n := range 8 {
		s.Runners[fmt.Sprint("r", n)].Version = []string{"v1", "v2"}[n%2]
	}
}

// silent sends one event and nothing more.
var silent = response{"silent", true, func(ctx context.Context) (*relay.Answer, error) {
	body := io.MultiReader(strings.NewReader(one), readFunc(func([]byte) (int, error) {
		<-ctx.Done()
		return 0, ctx.Err()
	}))
	return answerWith(http.StatusOK, "", func(a *relay.Answer) { a.Events, a.Body = true, body })(ctx)
}}

// TestRunnersOfOneVersionServeAStream guards against answers of two versions, whichever way a
// stream changes its runner.
func TestRunnersOfOneVersionServeAStream(t *testing.T) {
	for _, first := range []response{streamOf(one, true), silent, full, refused, reset} {
		for _, resumes := range []string{"", "v1", "v2"} {
			t.Run(first.name+" "+resumes, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					streams := &fakeStreams{known: map[string]string{"before": resumes}}
					var answered, chosen []string
					f := &fakeRunners{responses: []response{first, streamOf(two, false)}, streams: streams, describe: mixed}
					f.connect = func(d relay.Dispatch) { chosen = append(chosen, d.Runner.Version) }
					f.observe = func(_ target.Set, d relay.Dispatch) {
						if a := f.given[len(f.given)-1]; a.name == "stream" || a.name == "silent" {
							answered = append(answered, d.Runner.Version)
						}
					}
					w := serveCall(t, "/longResumable/1", f, &fakePieces{}, func(c *relay.Call, _ *inventory.Current) {
						if resumes != "" {
							c.ResumeAfter, c.Resumes = "0", "before"
						}
					})
					is.Equal(w.Code, http.StatusOK)
					is.Equal(len(f.sent), 2)
					want := resumes
					if resumes == "" {
						want = answered[0]
						is.Equal(streams.known["id"], want)
					}
					for _, version := range answered {
						is.Equal(version, want)
					}
					if resumes != "" || first.name == "silent" {
						is.Equal(chosen, []string{want, want})
					}
				})
			})
		}
	}
}

// TestStreamOfUnknownVersionIsRefusedAtOnce guards against streams that go on at a guess.
func TestStreamOfUnknownVersionIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := &fakeRunners{responses: []response{streamOf(two, false)}, streams: &fakeStreams{known: map[string]string{}}, describe: mixed}
		p := &fakePieces{}
		w := serveCall(t, "/stagedResumable/1", f, p, func(c *relay.Call, _ *inventory.Current) { c.ResumeAfter, c.Resumes = "1", "before" })
		is.Equal(w.Code, http.StatusServiceUnavailable)
		is.True(w.Header().Get("Retry-After") != "")
		is.Equal(len(f.sent)+len(p.made), 0)
	})
}

func TestStreamsBeginAtSettledVersions(t *testing.T) {
	for _, unsettled := range []string{"v1", "v2"} {
		synctest.Test(t, func(t *testing.T) {
			f := &fakeRunners{responses: []response{full}, streams: &fakeStreams{known: map[string]string{}, unsettled: unsettled}, describe: mixed}
			f.connect = func(d relay.Dispatch) { is.New(t).True(d.Runner.Version != unsettled) }
			serveCall(t, "/resumable/1", f, &fakePieces{}, nil)
			is.New(t).True(len(f.sent) > 0)
		})
	}
}

// TestRunnerThatReturnsWithAnotherVersionGetsNoStream has all runners return under their
// identifiers while a connection is opened.
func TestRunnerThatReturnsWithAnotherVersionGetsNoStream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := &fakeRunners{responses: []response{streamOf(two, false)}, streams: &fakeStreams{known: map[string]string{"before": "v1"}}, describe: versioned("v1")}
		var current *inventory.Current
		f.connect = func(relay.Dispatch) {
			s := *current.Load()
			s.Revision.Number++
			s.Runners = make(map[string]*inventory.Runner)
			for n := range 8 {
				id := fmt.Sprint("r", n)
				s.Runners[id] = &inventory.Runner{ID: id, Service: "s", Zone: "z", Slots: 1, Version: "v2"}
			}
			current.Advance(&s)
		}
		w := serveCall(t, "/resumable/1", f, &fakePieces{}, func(c *relay.Call, known *inventory.Current) {
			c.ResumeAfter, c.Resumes, current = "1", "before", known
		})
		is.Equal(w.Code, http.StatusServiceUnavailable)
		is.Equal(len(f.sent), 0)
	})
}
