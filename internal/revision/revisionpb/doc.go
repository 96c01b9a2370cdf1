// Package revisionpb holds the messages in which revisions are stored and exchanged between hosts.
package revisionpb

//go:generate protoc --go_out=. --go_opt=paths=source_relative revision.proto
