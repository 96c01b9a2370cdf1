// Package quarantinepb defines the messages that the hosts exchange for package quarantine.
package quarantinepb

//go:generate protoc --go_out=. --go_opt=paths=source_relative quarantine.proto
