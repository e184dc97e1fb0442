package config_test

import (
	"encoding/json"
	"path/filepath"
	"strings"
	"testing"

	"cicadawell.dev/fleet/bundle"
	"cicadawell.dev/fleet/config"
	"cicadawell.dev/fleet/fault"
	"cicadawell.dev/fleet/golden"
	"github.com/matryer/is"
)

type samplePart struct {
	Name  string `json:"name"`
	Count uint8  `json:"count"`
}

type sampleConfig struct {
	Title string                `json:"title"`
	Share float64               `json:"share"`
	On    bool                  `json:"on"`
	Parts []samplePart          `json:"parts"`
	ByID  map[string]samplePart `json:"byId"`
	Free  json.RawMessage       `json:"free"`
	Maybe *samplePart           `json:"maybe"`
	Bytes []byte                `json:"bytes"`
	Inner struct{ N int64 }     `json:"inner"`
}

// Validate rejects an empty title and a share above 1, so that tests cover the errors
// of Check together with those of decoding.
func (w *sampleConfig) Validate(r *config.Report) {
	if w.Title == "" {
		r.Add("title", `""`, "a title")
	}
	if w.Share > 1 {
		r.Add("share", "more than 1", "0 to 1")
	}
}

func TestErrorsNameEveryBadField(t *testing.T) {
	inputs, err := filepath.Glob("testdata/*.json")
	is := is.New(t)
	is.NoErr(err)
	is.True(len(inputs) > 0)
	for _, in := range inputs {
		t.Run(filepath.Base(in), func(t *testing.T) {
			is := is.New(t)
			_, err := config.Read(in, sampleConfig{})
			is.True(fault.Is(err, fault.BadRequest))
			golden.Check(t, strings.TrimSuffix(in, ".json")+".golden", err.Error()+"\n")
		})
	}
}

func TestCommentsAndDefaults(t *testing.T) {
	is := is.New(t)
	text := `{ // a comment
		"title": "x", "inner": {"N": 3,}, /* more */ "bytes": "AQI=",
		"free": {"any": [1, "thing"]}, "maybe": null, "byId": {"a": {"count": 255}},
	}`
	got, err := config.Decode("text", []byte(text), sampleConfig{On: true, Share: 0.5})
	is.NoErr(err)
	is.Equal(got.Title, "x")
	is.Equal(got.On, true) // kept from the defaults
	is.Equal(got.Share, 0.5)
	is.Equal(got.Inner.N, int64(3))
	is.Equal(got.Bytes, []byte{1, 2})
	is.Equal(got.ByID["a"].Count, uint8(255))
	is.True(got.Maybe == nil)
}

func TestReadsEveryFieldOfABundle(t *testing.T) {
	is := is.New(t)
	b := bundle.Bundle{
		Version:   3,
		Runners:   []bundle.Runner{{ID: "a", ReportsLoad: true, ChecksFencing: true, WarmupMillis: 1, Models: []string{"m"}}},
		Pipelines: []bundle.Pipeline{{ID: "p", Stages: []bundle.Stage{{Name: "s", Streams: true}}}},
	}
	data, err := json.Marshal(b)
	is.NoErr(err)
	got, err := config.Decode("bundle", []byte(strings.ReplaceAll(string(data), "null", "[]")), bundle.Bundle{})
	is.NoErr(err)
	is.Equal(got.Runners, b.Runners)
	is.Equal(got.Pipelines, b.Pipelines)
}

func TestMissingFileIsNamed(t *testing.T) {
	is := is.New(t)
	_, err := config.Read("testdata/none", sampleConfig{})
	is.True(fault.Is(err, fault.NotFound))
	is.Equal(fault.Of(err).Field(), "testdata/none")
}
