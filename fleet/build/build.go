// Package build tells from which sources a program was built.
package build

import "runtime/debug"

// unknown is the commit of a program that was built outside of a repository.
const unknown = "unknown"

// Commit returns the commit that the running program was built from. It ends with a plus if
// the sources had further changes.
func Commit() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return unknown
	}
	return commitOf(info.Settings)
}

func commitOf(settings []debug.BuildSetting) string {
	commit, changed := unknown, ""
	for _, s := range settings {
		switch {
		case s.Key == "vcs.revision":
			commit = s.Value
		case s.Key == "vcs.modified" && s.Value == "true":
			changed = "+"
		}
	}
	return commit + changed
}
