package continuity

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"cicadawell.dev/fleet/golden"
	"cicadawell.dev/router/era"
	"cicadawell.dev/router/inventory"
	"github.com/matryer/is"
)

func TestMemoryKeepsStreamsForAPeriod(t *testing.T) {
	is := is.New(t)
	var m memory
	now, period := time.Unix(1000, 0), 30*time.Second
	key := func(id string) streamKey { return streamKey{service: "s", id: id} }
	m.note(key("a"), "v1", now, period)
	m.note(key("a"), "v2", now.Add(time.Second), period) // the first one stays
	m.note(key(strings.Repeat("x", maxIDBytes+1)), "v1", now, period)
	m.note(key(""), "v1", now, period)
	is.Equal(m.all("s"), map[string][]string{"v1": {"a"}})
	is.Equal(len(m.all("t")), 0)
	m.note(key("b"), "v2", now.Add(period), period)
	version, ok := m.versionOf(key("a"))
	is.True(ok)
	is.Equal(version, "v1")
	m.note(key("a"), "v2", now.Add(period), period)
	m.note(key("c"), "v2", now.Add(2*period), period)
	version, ok = m.versionOf(key("a"))
	is.True(ok) // noted again one period ago
	is.Equal(version, "v1")
	m.note(key("d"), "v2", now.Add(3*period), period)
	_, ok = m.versionOf(key("a"))
	is.True(!ok)
}

func TestMemoryIsBounded(t *testing.T) {
	is := is.New(t)
	var m memory
	for n := range 3 * maxStreams {
		m.note(streamKey{id: fmt.Sprint(n)}, "v1", time.Unix(1000, 0), time.Hour)
	}
	is.True(len(m.recent)+len(m.earlier) <= 2*maxStreams)
	_, ok := m.versionOf(streamKey{id: fmt.Sprint(3*maxStreams - 1)})
	is.True(ok)
}

// TestVersionsOfAService compares what calls need to know, and the record, with a golden file.
func TestVersionsOfAService(t *testing.T) {
	start := time.Unix(1000, 0)
	v := serviceVersions{retention: minRetention, seen: make(map[string]sighting)}
	var out strings.Builder
	for n, c := range []struct {
		at               time.Duration
		present, written string
	}{
		{0, "v1", ""},
		{time.Second, "v1 v2", ""},
		{4 * time.Second, "v1 v2", "v1 v2"},
		{10 * time.Second, "v2", "v1 v2"},
		{12 * time.Second, "v2 v3", "v1 v2"},
		{14 * time.Second, "v2 v3", "v1 v2 v3"},
		{15 * time.Second, "v2", "v1 v2 v3"},
		{16 * time.Second, "v2 v3", "v1 v2 v3"},
		{20 * time.Second, "v3", "v1 v2 v3"},
		{40 * time.Second, "v3", "v1 v2 v3"},
		{41 * time.Second, "v3", "v2 v3"},
		{50 * time.Second, "v3", "v2 v3"},
		{51 * time.Second, "v3", ""},
		{60 * time.Second, "", ""},
		{91 * time.Second, "", ""},
		{92 * time.Second, "v4", ""},
	} {
		now := start.Add(c.at)
		present := make(map[string]bool)
		for _, version := range strings.Fields(c.present) {
			present[version] = true
		}
		v.update(present, inventory.ServiceVersions{Versions: strings.Fields(c.written), Revision: era.New(0, int64(n))}, n == 0, now)
		v.forget(now)
		view := v.view()
		fmt.Fprintf(&out, "%v: runners of %q, recorded %q\n", c.at, c.present, c.written)
		if view.single {
			fmt.Fprintf(&out, "  all streams began at %s\n", view.only)
		} else {
			var versions []string
			for version, at := range view.beginsAt {
				from := "now"
				if at.After(now) {
					from = at.Sub(start).String()
				}
				versions = append(versions, version+" from "+from)
			}
			slices.Sort(versions)
			fmt.Fprintf(&out, "  streams begin at %s\n", strings.Join(versions, ", "))
		}
		if want, _, due := v.due(now); due {
			fmt.Fprintf(&out, "  to be recorded: %q\n", strings.Join(want, " "))
		}
	}
	golden.Check(t, "testdata/versions.golden", out.String())
}

// TestRecordNamesInvalidField covers records that anyone may have written.
func TestRecordNamesInvalidField(t *testing.T) {
	is := is.New(t)
	many := make([]string, maxVersions+1)
	for n := range many {
		many[n] = fmt.Sprintf("%q", fmt.Sprint("v", n))
	}
	for data, field := range map[string]string{
		"[]":                "record",
		`{"versions":"v1"}`: "record",
		strings.Repeat(" ", maxRecordBytes) + "{}":       "record",
		`{"versions":[` + strings.Join(many, ",") + `]}`: "versions",
	} {
		_, err := Decode("s", []byte(data), era.New(0, 1))
		is.True(err != nil)
		is.True(strings.Contains(err.Error(), field))
	}
	data, err := Encode(inventory.ServiceVersions{Service: "s", Versions: []string{"v2", "v1", "v2"}})
	is.NoErr(err)
	v, err := Decode("s", data, era.New(0, 7))
	is.NoErr(err)
	is.Equal(*v, inventory.ServiceVersions{Service: "s", Versions: []string{"v1", "v2"}, Revision: era.New(0, 7)})
}
