// Package peer exchanges protobuf messages between entry hosts over yamux streams on TCP.
package peer

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"
)

// Method is the name of the procedure that a stream calls. Each host has one handler per method.
type Method string

// Stream is one exchange of protobuf messages with another entry host. One goroutine may call Send
// while another calls Recv. Every frame carries a hybrid logical clock timestamp, which Recv observes.
type Stream interface {
	// Send writes one message.
	Send(m proto.Message) error
	// Recv reads one message into m. It returns an error that matches io.EOF after the other side closed.
	Recv(m proto.Message) error
	// SetDeadline sets the deadline of all later calls of Send and Recv. The zero time removes it.
	SetDeadline(t time.Time) error
	// Remote returns the id of the other host.
	Remote() string
	// Close ends the exchange. Recv on the other side then returns an error.
	Close() error
}

// Handler serves one stream. The stream is closed when the handler returns. The context ends when the
// session to the other host is lost or the local node closes.
type Handler func(ctx context.Context, s Stream)

// Caller opens streams to other entry hosts. It is an interface so that the packages that use it can be
// tested with fakes.
type Caller interface {
	// Open starts an exchange with a host.
	Open(ctx context.Context, host string, m Method) (Stream, error)
	// Call sends req, receives resp and ends the exchange. ctx bounds the whole call.
	Call(ctx context.Context, host string, m Method, req, resp proto.Message) error
}
