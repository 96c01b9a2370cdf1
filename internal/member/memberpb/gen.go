// Package memberpb holds the protobuf messages of the membership protocol.
package memberpb

//go:generate protoc --go_out=. --go_opt=paths=source_relative member.proto
