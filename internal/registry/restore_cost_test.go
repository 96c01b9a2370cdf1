package registry

import (
	"fmt"
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"
)

// All hosts that read the store again at once would take it down. Few of them do, and the others get one full update each.
// BILBERRY_RESTORE_HOSTS and BILBERRY_RESTORE_TARGETS set the numbers of hosts and targets.
func TestRestoreCostsFewCalls(t *testing.T) {
	is := is.New(t)
	size := func(variable string, fallback int) int {
		text := os.Getenv(variable)
		if text == "" {
			return fallback
		}
		n, err := strconv.Atoi(text)
		is.NoErr(err)
		return n
	}
	hosts, targets := size("BILBERRY_RESTORE_HOSTS", 40), size("BILBERRY_RESTORE_TARGETS", 20)
	var ids []string
	for i := range hosts {
		ids = append(ids, fmt.Sprintf("h%d", i))
	}
	f := startFleet(t, ids...)
	for i := range targets {
		f.store.putTarget(readyTarget(fmt.Sprintf("t%d", i), 0))
	}
	older := f.store.copyRecords()
	f.store.putConfig(2)
	f.await("the configuration is known", func(r *Registry) bool { return r.configurationVersion() == 2 })
	calls := func() int {
		f.store.mu.Lock()
		defer f.store.mu.Unlock()
		return f.store.calls
	}
	before := calls()
	time.Sleep(time.Second)
	usual := calls() - before
	before = calls()
	restored := time.Now()
	f.store.restore(older)
	f.await("the new era is known", func(r *Registry) bool { return r.Freshness().Position.Era == 1 })
	took := time.Since(restored)
	time.Sleep(time.Until(restored.Add(time.Second)))
	read := calls() - before
	listed := func() (n int) {
		f.store.mu.Lock()
		defer f.store.mu.Unlock()
		for _, h := range f.store.hosts {
			if h.Revision.Number > older.revision {
				n++
			}
		}
		return n
	}
	for listed() < hosts && time.Since(restored) < 2*reregistrationSpread {
		time.Sleep(50 * time.Millisecond)
	}
	source := f.hosts["h0"]
	update := proto.Size(source.nextUpdate(source.subscribe(at(1))))
	t.Logf("%d hosts: new era known by all after %s; %d calls in the first second, %d in one before; all %d listed after %s; a full update has %d bytes",
		hosts, took.Round(time.Millisecond), read, usual, listed(), time.Since(restored).Round(100*time.Millisecond), update)
	is.Equal(listed(), hosts)
	// Two calls a host write its record again, over reregistrationSpread. The first hosts in the ranking read the store.
	is.True(read-usual <= hosts/2+2*hostsPerRound)
	for _, r := range f.hosts {
		is.Equal(len(r.View().Hosts), hosts)
	}
}
