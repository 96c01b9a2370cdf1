package entry

import (
	"time"

	"github.com/bilberryline/bilberryline/internal/config"
)

// staticSource is a configSource for a configuration read from files at startup.
type staticSource struct {
	snapshot *config.Snapshot
	since    time.Time
}

func newStaticSource(snap *config.Snapshot) *staticSource {
	return &staticSource{snapshot: snap, since: time.Now()}
}

// Current implements configSource.
func (s *staticSource) Current() *config.Snapshot { return s.snapshot }
