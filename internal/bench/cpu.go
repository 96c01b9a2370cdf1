package bench

import (
	"os"
	"strconv"
	"strings"
)

// cpuTime is the cumulative CPU time of the whole machine, in clock ticks, from /proc/stat.
type cpuTime struct {
	busy, total float64
}

func readCPUTime() cpuTime {
	text, err := os.ReadFile("/proc/stat")
	if err != nil {
		return cpuTime{}
	}
	line, _, _ := strings.Cut(string(text), "\n")
	var t cpuTime
	const idle, iowait = 3, 4
	for i, field := range strings.Fields(line)[1:] {
		v, _ := strconv.ParseFloat(field, 64)
		t.total += v
		if i != idle && i != iowait {
			t.busy += v
		}
	}
	return t
}

// busyShare returns the fraction of CPU time that was busy since an earlier reading.
func (t cpuTime) busyShare(since cpuTime) float64 {
	if t.total <= since.total {
		return 0
	}
	return (t.busy - since.busy) / (t.total - since.total)
}
