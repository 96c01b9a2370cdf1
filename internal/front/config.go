package front

import "time"

// Config configures a Server. Zero fields take the default values.
type Config struct {
	// Address is the IP address and port to listen on.
	Address string
	// Handler responds to the requests.
	Handler Handler
	// MaxConnections is the maximum number of open connections of callers. Default 20000.
	MaxConnections int
	// MaxHeaderBytes limits the request line and header fields of one request, in bytes. Default 64 KiB.
	MaxHeaderBytes int
	// MaxBodyBytes limits one request body, in bytes. Default 16 MiB.
	MaxBodyBytes int
	// MaxBufferedBytes limits the request bodies buffered for all connections together, in bytes. Default 512 MiB.
	MaxBufferedBytes int64
	// OnHeldResponse is called with the size of a response's body when the response is about to be written, and with
	// the negative size when it has been written. It may be nil.
	OnHeldResponse func(bytes int)
	// ReadTimeout limits the time from a request's first byte to its last. Default 60 s.
	ReadTimeout time.Duration
	// IdleTimeout limits the time between requests on one connection. Default 120 s.
	IdleTimeout time.Duration
	// WriteTimeout limits the time to write one response to the caller. Default 300 s.
	WriteTimeout time.Duration
	// Workers is the maximum number of handlers that run concurrently. Default 8192.
	Workers int
}

const (
	defaultMaxConnections   = 20000
	defaultMaxHeaderBytes   = 64 << 10
	defaultMaxBodyBytes     = 16 << 20
	defaultMaxBufferedBytes = 512 << 20
	defaultReadTimeout      = 60 * time.Second
	defaultIdleTimeout      = 120 * time.Second
	defaultWriteTimeout     = 300 * time.Second
	defaultWorkers          = 8192
	workerQueueSize         = 64 << 10
	// maxPipelined is the maximum number of requests on one connection that are read but not yet answered.
	maxPipelined    = 8
	readBufferBytes = 16 << 10
	// workerWriteTimeout limits how long a worker waits for the kernel to accept a response. A separate
	// goroutine writes the remaining bytes.
	workerWriteTimeout = 5 * time.Millisecond
	// maxChunkOverhead and chunkOverheadPerByte limit the size of a chunked body on the wire to 16 KiB plus
	// 16 bytes for each byte of the decoded body. This permits chunks of one byte but no long extensions.
	maxChunkOverhead     = 16 << 10
	chunkOverheadPerByte = 16
	// lingerTimeout is how long input is still read after the last response on a connection.
	lingerTimeout = 500 * time.Millisecond
)

func (c Config) withDefaults() Config {
	setDefault(&c.MaxConnections, defaultMaxConnections)
	setDefault(&c.MaxHeaderBytes, defaultMaxHeaderBytes)
	setDefault(&c.MaxBodyBytes, defaultMaxBodyBytes)
	setDefault(&c.MaxBufferedBytes, defaultMaxBufferedBytes)
	setDefault(&c.ReadTimeout, defaultReadTimeout)
	setDefault(&c.IdleTimeout, defaultIdleTimeout)
	setDefault(&c.WriteTimeout, defaultWriteTimeout)
	setDefault(&c.Workers, defaultWorkers)
	if c.OnHeldResponse == nil {
		c.OnHeldResponse = func(int) {}
	}
	return c
}

// setDefault sets a field that is not positive to its default value.
func setDefault[T int | int64 | time.Duration](field *T, value T) {
	if *field <= 0 {
		*field = value
	}
}
