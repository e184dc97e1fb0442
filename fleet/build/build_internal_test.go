package build

import (
	"runtime/debug"
	"testing"

	"github.com/matryer/is"
)

func TestCommitIsThatOfTheSources(t *testing.T) {
	is := is.New(t)
	is.Equal(commitOf(nil), "unknown")
	revision := debug.BuildSetting{Key: "vcs.revision", Value: "1d558ee"}
	is.Equal(commitOf([]debug.BuildSetting{{Key: "vcs", Value: "git"}, revision, {Key: "vcs.modified", Value: "false"}}), "1d558ee")
	is.Equal(commitOf([]debug.BuildSetting{revision, {Key: "vcs.modified", Value: "true"}}), "1d558ee+")
}
