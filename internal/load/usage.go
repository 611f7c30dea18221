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

// clockTicksPerSecond is the unit of /proc/PID/stat, per second.
const clockTicksPerSecond = 100

// Usage is what a process has used since its start.
type Usage struct {
	// ResidentBytes is memory, bytes.
	ResidentBytes int64
	// CPUTime is time on any core.
	CPUTime time.Duration
	// ReadBytes and Written are bytes through read and write calls: sockets, and the
	// little that goes to the log.
	ReadBytes, WrittenBytes int64
}

// ReadUsage returns what a process has used. The folder is /proc.
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

// readNumbers reads lines of a name, a colon and a number.
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

// readCPUTime returns the time on any core, in user and system mode.
func readCPUTime(path string) (time.Duration, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return 0, fmt.Errorf("usage: %w", err)
	}
	const user, system = 11, 12 // after the name, which may hold blanks
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
