// Package drainspb defines the messages by which a host announces a draining target to the other entry hosts.
package drainspb

//go:generate protoc --go_out=. --go_opt=paths=source_relative drains.proto
