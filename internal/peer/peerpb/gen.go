// Package peerpb holds the protobuf messages of the session layer between entry hosts.
package peerpb

//go:generate protoc --go_out=. --go_opt=paths=source_relative hello.proto
