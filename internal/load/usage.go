package load

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"
)

// clockTicksPerSecond is the resolution of the CPU times in /proc/PID/stat
// (USER_HZ).
const clockTicksPerSecond = 100

// Usage is the resource usage of a process: its current memory, and the CPU time
// and I/O since its start.
type Usage struct {
	// ResidentBytes is the resident set size.
	ResidentBytes int64
	// CPUTime is the user and system time over all cores.
	CPUTime time.Duration
	// ReadBytes and WrittenBytes are the bytes passed through read and write system
	// calls. For an instance this is almost entirely socket traffic; log output
	// adds little.
	ReadBytes, WrittenBytes int64
}

// ReadUsage returns the usage of a process. The procDir is the mount point of the
// proc file system, normally /proc.
func ReadUsage(procDir string, pid int) (Usage, error) {
	processDir := filepath.Join(procDir, strconv.Itoa(pid))
	status, err := readNumbers(filepath.Join(processDir, "status"))
	if err != nil {
		return Usage{}, err
	}
	ioCounters, err := readNumbers(filepath.Join(processDir, "io"))
	if err != nil {
		return Usage{}, err
	}
	cpuTime, err := readCPUTime(filepath.Join(processDir, "stat"))
	if err != nil {
		return Usage{}, err
	}
	return Usage{
		ResidentBytes: status["VmRSS"] << 10, CPUTime: cpuTime,
		ReadBytes: ioCounters["rchar"], WrittenBytes: ioCounters["wchar"],
	}, nil
}

// readNumbers parses lines of the form "name: number" and skips all others.
func readNumbers(path string) (map[string]int64, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("usage: %w", err)
	}
	numbers := map[string]int64{}
	for line := range strings.Lines(string(text)) {
		name, rest, _ := strings.Cut(line, ":")
		number, _, _ := strings.Cut(strings.TrimSpace(rest), " ")
		if value, err := strconv.ParseInt(number, 10, 64); err == nil {
			numbers[name] = value
		}
	}
	return numbers, nil
}

// readCPUTime returns the user and system time over all cores.
func readCPUTime(path string) (time.Duration, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return 0, fmt.Errorf("usage: %w", err)
	}
	// Field indexes after the command name, which is in parentheses and may contain
	// spaces and parentheses itself.
	const user, system = 11, 12
	fields := strings.Fields(string(text[bytes.LastIndexByte(text, ')')+1:]))
	if len(fields) <= system {
		return 0, fmt.Errorf("usage: %s: too few fields", path)
	}
	var sum int64
	for _, field := range fields[user : system+1] {
		value, err := strconv.ParseInt(field, 10, 64)
		if err != nil {
			return 0, fmt.Errorf("usage: %s: %w", path, err)
		}
		sum += value
	}
	return time.Duration(sum) * (time.Second / clockTicksPerSecond), nil
}
