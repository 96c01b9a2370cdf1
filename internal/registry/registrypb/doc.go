// Package registrypb holds the messages with which entry hosts exchange the state of the registry.
package registrypb

//go:generate protoc --go_out=. --go_opt=paths=source_relative registry.proto
