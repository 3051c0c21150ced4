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

// Usage is what a process has used.
type Usage struct {
	CPU      time.Duration
	HeapLive uint64
	RSS      uint64
	At       time.Time
}

// ownUsage returns the usage of this process. The live heap is read after a collection.
func ownUsage(collect bool) Usage {
	u := Usage{At: time.Now()}
	var rusage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &rusage) == nil {
		u.CPU = time.Duration(rusage.Utime.Nano() + rusage.Stime.Nano())
	}
	if collect {
		var stats runtime.MemStats
		runtime.GC()
		runtime.GC()
		runtime.ReadMemStats(&stats)
		u.HeapLive = stats.HeapAlloc
	}
	u.RSS, _ = residentBytes(os.Getpid())
	return u
}

// clockTick is the unit of times in /proc/PID/stat.
const clockTick = 10 * time.Millisecond

// processUsage returns the usage of another process, from /proc.
func processUsage(pid int) (Usage, error) {
	u := Usage{At: time.Now()}
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return u, err
	}
	_, rest, found := strings.Cut(string(data), ") ")
	fields := strings.Fields(rest)
	// User and system time are fields 14 and 15 of the whole line, the first field here is the third.
	const user, system = 11, 12
	if !found || len(fields) <= system {
		return u, fmt.Errorf("process %d: unexpected stat", pid)
	}
	for _, field := range []string{fields[user], fields[system]} {
		ticks, err := strconv.ParseInt(field, 10, 64)
		if err != nil {
			return u, err
		}
		u.CPU += time.Duration(ticks) * clockTick
	}
	u.RSS, err = residentBytes(pid)
	return u, err
}

func residentBytes(pid int) (uint64, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0, err
	}
	fields := strings.Fields(string(data))
	if len(fields) < 2 {
		return 0, fmt.Errorf("process %d: unexpected statm", pid)
	}
	pages, err := strconv.ParseUint(fields[1], 10, 64)
	return pages * uint64(os.Getpagesize()), err
}
