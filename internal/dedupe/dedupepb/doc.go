// Package dedupepb holds the messages of package dedupe.
package dedupepb

//go:generate protoc --go_out=. --go_opt=paths=source_relative dedupe.proto
