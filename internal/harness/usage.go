package harness

import (
	"os"
	"strconv"
	"strings"
	"time"
)

// clockTick is the unit of CPU times in /proc, 1/USER_HZ.
const clockTick = 10 * time.Millisecond

// CPUTime returns the user and system CPU time that the process has used, or 0 if it has exited. Its
// resolution is 10 ms.
func (p *Process) CPUTime() time.Duration {
	fields := procFields(p.PID(), "stat")
	const utime, stime = 11, 12
	if len(fields) <= stime {
		return 0
	}
	return time.Duration(fields[utime]+fields[stime]) * clockTick
}

// ResidentBytes returns the resident set size of the process in bytes, or 0 if it has exited.
func (p *Process) ResidentBytes() int64 {
	fields := procFields(p.PID(), "statm")
	if len(fields) < 2 {
		return 0
	}
	return fields[1] * int64(os.Getpagesize())
}

// procFields returns the fields of a file in /proc/PID as numbers. It skips the pid and the command name at the
// start of stat. Fields that are not numbers are 0.
func procFields(pid int, file string) []int64 {
	text, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/" + file)
	if err != nil {
		return nil
	}
	line := string(text)
	if _, rest, named := strings.Cut(line, ") "); named {
		line = rest
	}
	var numbers []int64
	for field := range strings.FieldsSeq(line) {
		n, _ := strconv.ParseInt(field, 10, 64)
		numbers = append(numbers, n)
	}
	return numbers
}
