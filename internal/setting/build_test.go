package setting

import (
	"runtime/debug"
	"testing"

	"github.com/matryer/is"
)

// A log that doesn't tell which source a process was built from can't tell a fault that is back from a build that is old.
func TestBuildNamesTheRevisionOfTheSource(t *testing.T) {
	is := is.New(t)
	is.Equal(describeBuild("dev", nil), "dev")
	settings := []debug.BuildSetting{{Key: "vcs", Value: "git"}, {Key: "vcs.revision", Value: "cc607a6fd0c3b1a2e4f5"}, {Key: "vcs.modified", Value: "false"}}
	is.Equal(describeBuild("v1", settings), "v1 cc607a6fd0c3")
	settings[2].Value = "true"
	is.Equal(describeBuild("v1", settings), "v1 cc607a6fd0c3 modified")
}
