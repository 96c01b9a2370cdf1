// Package quotapb defines the messages that the hosts exchange for package quota.
package quotapb

//go:generate protoc --go_out=. --go_opt=paths=source_relative quota.proto
