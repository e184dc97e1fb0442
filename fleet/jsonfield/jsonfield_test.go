package jsonfield_test

import (
	"encoding/json"
	"testing"

	"cicadawell.dev/fleet/jsonfield"
	"cicadawell.dev/fleet/runnerapi"
	"github.com/matryer/is"
)

func TestAppendFieldDecodesToTheSameMessage(t *testing.T) {
	for _, raw := range []string{`"x"`, `{"a":[1, 2]}`, `null`, `7`, ``} {
		is := is.New(t)
		m := runnerapi.RunRequest{Attempt: "a", Stage: "s", RemainingMillis: 5}
		data, err := jsonfield.AppendField(m, "input", json.RawMessage(raw))
		is.NoErr(err)
		var decoded runnerapi.RunRequest
		is.NoErr(json.Unmarshal(data, &decoded))
		is.Equal(string(decoded.Input), raw)
		decoded.Input = nil
		is.Equal(decoded, m)
	}
}
