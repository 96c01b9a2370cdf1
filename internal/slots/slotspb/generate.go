// Package slotspb defines the messages between a host that needs a slot and the owner of the slot group.
package slotspb

//go:generate protoc --go_out=. --go_opt=paths=source_relative slots.proto
