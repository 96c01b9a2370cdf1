package setting

import "runtime/debug"

// revisionDigits is the number of digits that identify a revision of the source.
const revisionDigits = 12

// Build describes the build: its version, and the revision of the source that the Go tool recorded, if it did, with
// "modified" if the source had changes.
func Build() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return Version
	}
	return describeBuild(Version, info.Settings)
}

func describeBuild(version string, settings []debug.BuildSetting) string {
	var revision, modified string
	for _, s := range settings {
		switch {
		case s.Key == "vcs.revision":
			revision = " " + s.Value[:min(len(s.Value), revisionDigits)]
		case s.Key == "vcs.modified" && s.Value == "true":
			modified = " modified"
		}
	}
	return version + revision + modified
}
