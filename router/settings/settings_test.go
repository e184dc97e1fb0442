package settings_test

import (
	"path/filepath"
	"strings"
	"testing"
	"time"

	"cicadawell.dev/fleet/fault"
	"cicadawell.dev/fleet/golden"
	"cicadawell.dev/router/settings"
	"github.com/matryer/is"
)

func TestErrorsNameEveryBadField(t *testing.T) {
	inputs, err := filepath.Glob("testdata/*.json")
	is := is.New(t)
	is.NoErr(err)
	is.True(len(inputs) > 0)
	for _, in := range inputs {
		t.Run(filepath.Base(in), func(t *testing.T) {
			is := is.New(t)
			_, err := settings.Read(in)
			is.True(fault.Is(err, fault.BadRequest))
			golden.Check(t, strings.TrimSuffix(in, ".json")+".golden", err.Error()+"\n")
		})
	}
}

func TestExampleIsValid(t *testing.T) {
	is := is.New(t)
	s, err := settings.Read("../../docs/examples/router.json")
	is.NoErr(err)
	is.Equal(s.Zone, "zone-a")
	is.Equal(s.StopGrace(), 11*time.Minute)
	is.True(s.Operators[0].MayWrite)
	is.True(!s.Operators[0].MayApprove)
}
