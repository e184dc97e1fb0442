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
	files, err := filepath.Glob("testdata/*.json")
	is := is.New(t)
	is.NoErr(err)
	is.True(len(files) > 0)
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			is := is.New(t)
			_, err := settings.Read(file)
			is.True(fault.Is(err, fault.BadRequest))
			golden.Check(t, strings.TrimSuffix(file, ".json")+".golden", err.Error()+"\n")
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
