package expect

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

const work = 100 * time.Millisecond

func TestOrderOfResponseTimes(t *testing.T) {
	idle := ServerState{Report: Report{Slots: 2, Slowness: 1}}
	with := func(change func(*ServerState)) ServerState {
		s := idle
		change(&s)
		return s
	}
	// Each server is expected to take longer than the previous one.
	order := []struct {
		name string
		s    ServerState
	}{
		{"idle", idle},
		{"last slot", with(func(s *ServerState) { s.Running = 1 })},
		{"full", with(func(s *ServerState) { s.Running = 2 })},
		{"other load on the machine", with(func(s *ServerState) { s.Slowness = 7 })},
		{"other load on the machine and full", with(func(s *ServerState) { s.Slowness = 7; s.Running = 2; s.Waiting = 3 })},
	}
	for i := 1; i < len(order); i++ {
		t.Run(order[i].name, func(t *testing.T) {
			is.New(t).True(ResponseTime(work, order[i-1].s) < ResponseTime(work, order[i].s))
		})
	}
}

func TestSentSinceTheReportCountsAsRunning(t *testing.T) {
	is := is.New(t)
	reported := ServerState{Report: Report{Slots: 2, Running: 1, Slowness: 1}}
	sent := ServerState{Report: Report{Slots: 2, Slowness: 1}, SentSinceReport: 1}
	is.Equal(ResponseTime(work, reported), ResponseTime(work, sent))
}

// TestSlownessAtStartAppliesToWholeRequest covers other load on the machine that makes a server seven times slower for
// half a second. A request that starts during that time takes seven times as long. On the platform, 219 requests that
// started at a slowness of 5 or more took 1,311 ms on average, compared with 223 ms at a slowness of 1.
func TestSlownessAtStartAppliesToWholeRequest(t *testing.T) {
	is := is.New(t)
	is.Equal(ResponseTime(work, ServerState{Report: Report{Slots: 6, Slowness: 7}}), 7*work)
	is.Equal(ResponseTime(10*work, ServerState{Report: Report{Slots: 6, Slowness: 7}}), 70*work)
}

func TestUnknownSlownessIsUsual(t *testing.T) {
	is.New(t).Equal(ResponseTime(work, ServerState{}) > 0, true)
}

// TestLastSlotSlowsRunningRequests covers servers with two slots that become slower when both are occupied. The request
// in the second slot also slows down the one that already runs.
func TestLastSlotSlowsRunningRequests(t *testing.T) {
	is := is.New(t)
	is.Equal(InterferenceCost(work, ServerState{Report: Report{Slots: 2}}), time.Duration(0))
	is.True(InterferenceCost(work, ServerState{Report: Report{Slots: 2, Running: 1}}) > 0)
	is.Equal(InterferenceCost(work, ServerState{Report: Report{Slots: 6, Running: 1}}), time.Duration(0))
	is.Equal(InterferenceCost(work, ServerState{Report: Report{Slots: 1}}), time.Duration(0))
}

// TestQueuedRequestExpectsMeanSlowness covers other load on the machine that comes and goes. A request that has to wait
// in the server's queue starts at a slowness that no report shows yet.
func TestQueuedRequestExpectsMeanSlowness(t *testing.T) {
	is := is.New(t)
	full := ServerState{Report: Report{Slots: 2, Running: 2, Slowness: 1}}
	noisy := full
	noisy.MeanSlowness = 3
	is.True(ResponseTime(work, noisy) > 2*ResponseTime(work, full))
	free := ServerState{Report: Report{Slots: 2, Slowness: 1}, MeanSlowness: 3}
	is.Equal(ResponseTime(work, free), work)
}

// TestOldSlownessReportDecays covers fleets in which each host may request a report from a server only twice a second.
// An old report of a slow or a fast server says little about its current speed.
func TestOldSlownessReportDecays(t *testing.T) {
	is := is.New(t)
	at := func(slowness float64, age time.Duration) time.Duration {
		return ResponseTime(work, ServerState{Report: Report{Slots: 2, Slowness: slowness}, MeanSlowness: 3, ReportAge: age})
	}
	is.Equal(at(7, 0), 7*work)
	is.Equal(at(1, 0), work)
	is.True(at(7, time.Second) < 4*work)
	is.True(at(1, time.Second) > 2*work)
	is.True(at(1, time.Second) < at(7, time.Second))
}
