package permit_test

import (
	"testing"

	"cicadawell.dev/fleet/property"
)

func TestMain(m *testing.M) { property.Main(m, 500) }
