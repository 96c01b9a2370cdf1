// Package examples embeds the example configurations, one directory each. The demonstration, the tests
// and the measurements use them.
package examples

import "embed"

// Files contains the directories potcoava and pinselwerk.
//
//go:embed potcoava pinselwerk
var Files embed.FS
