package harness

import (
	"os"
	"strconv"
	"strings"
	"time"
)

// clockTick is the unit of processor times in /proc, USER_HZ.
const clockTick = 10 * time.Millisecond

// CPUTime returns the processor time that the process has used, or 0 when it is gone. Its
// resolution is 10 ms.
func (p *Process) CPUTime() time.Duration {
	fields := procFields(p.PID(), "stat")
	const utime, stime = 11, 12
	if len(fields) <= stime {
		return 0
	}
	return time.Duration(fields[utime]+fields[stime]) * clockTick
}

// ResidentBytes returns the resident memory of the process, or 0 when it is gone.
func (p *Process) ResidentBytes() int64 {
	fields := procFields(p.PID(), "statm")
	if len(fields) < 2 {
		return 0
	}
	return fields[1] * int64(os.Getpagesize())
}

// procFields reads the numbers in a file of /proc, behind the command's name where there is one. What
// is not a number reads as 0.
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
