package dedupe

import "time"

// Limits bounds the records that a host keeps. A zero field means the default.
type Limits struct {
	// Records and Bytes bound the whole table.
	Records int
	Bytes   int
	// CallerRecords and CallerBytes bound the records of one caller.
	CallerRecords int
	CallerBytes   int
	// MaxResponseBytes is the maximum size of a response that is kept with its header and body. Only
	// the status of a larger response is kept.
	MaxResponseBytes int
	// Window is the maximum time for which a result is kept.
	Window time.Duration
}

const (
	defaultRecords          = 100_000
	defaultBytes            = 48 << 20
	defaultCallerRecords    = 25_000
	defaultCallerBytes      = 12 << 20
	defaultMaxResponseBytes = 64 << 10
	defaultWindow           = 24 * time.Hour

	// transferFactor times Limits.Records is the limit for records received from other hosts. New
	// keys are refused once Limits itself is reached.
	transferFactor = 2
)

func (l Limits) withDefaults() Limits {
	set := func(field *int, value int) {
		if *field <= 0 {
			*field = value
		}
	}
	set(&l.Records, defaultRecords)
	set(&l.Bytes, defaultBytes)
	set(&l.CallerRecords, defaultCallerRecords)
	set(&l.CallerBytes, defaultCallerBytes)
	set(&l.MaxResponseBytes, defaultMaxResponseBytes)
	if l.Window <= 0 {
		l.Window = defaultWindow
	}
	return l
}
