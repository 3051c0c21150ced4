package capacity

import (
	"fmt"
	"os"
	"runtime"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// Usage holds the processor time that a process has used and the memory that it occupies.
type Usage struct {
	CPUTime       time.Duration
	LiveHeapBytes uint64
	RSSBytes      uint64
	MeasuredAt    time.Time
}

// ownUsage returns the usage of this process. With collect set it runs the garbage collector and then
// reads the live heap.
func ownUsage(collect bool) Usage {
	usage := Usage{MeasuredAt: time.Now()}
	var rusage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &rusage) == nil {
		usage.CPUTime = time.Duration(rusage.Utime.Nano() + rusage.Stime.Nano())
	}
	if collect {
		var stats runtime.MemStats
		runtime.GC()
		runtime.GC()
		runtime.ReadMemStats(&stats)
		usage.LiveHeapBytes = stats.HeapAlloc
	}
	usage.RSSBytes, _ = residentBytes(os.Getpid())
	return usage
}

// clockTick is the unit of processor times in /proc/PID/stat.
const clockTick = 10 * time.Millisecond

// processUsage returns the usage of another process, from /proc.
func processUsage(pid int) (Usage, error) {
	usage := Usage{MeasuredAt: time.Now()}
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return usage, err
	}
	_, rest, found := strings.Cut(string(data), ") ")
	fields := strings.Fields(rest)
	// User and system time are fields 14 and 15 of the line. The fields here begin with the third, after
	// the process ID and the command name, which may contain spaces.
	const userTime, systemTime = 11, 12
	if !found || len(fields) <= systemTime {
		return usage, fmt.Errorf("process %d: unexpected format of its stat file in /proc", pid)
	}
	for _, field := range []string{fields[userTime], fields[systemTime]} {
		ticks, err := strconv.ParseInt(field, 10, 64)
		if err != nil {
			return usage, err
		}
		usage.CPUTime += time.Duration(ticks) * clockTick
	}
	usage.RSSBytes, err = residentBytes(pid)
	return usage, err
}

// residentBytes returns the resident set size of a process.
func residentBytes(pid int) (uint64, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0, err
	}
	fields := strings.Fields(string(data))
	if len(fields) < 2 {
		return 0, fmt.Errorf("process %d: unexpected format of its statm file in /proc", pid)
	}
	pages, err := strconv.ParseUint(fields[1], 10, 64)
	return pages * uint64(os.Getpagesize()), err
}
