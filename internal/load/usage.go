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

// ticks is the unit of /proc/PID/stat, per second.
const ticks = 100

// Usage is what a process has used since its start.
type Usage struct {
	// Resident is memory, bytes.
	Resident int64
	// Processor is time on any core.
	Processor time.Duration
	// Read and Written are bytes through read and write calls: sockets, and the
	// little that goes to the log.
	Read, Written int64
}

// ReadUsage returns what a process has used. The folder is /proc.
func ReadUsage(folder string, pid int) (Usage, error) {
	at := filepath.Join(folder, strconv.Itoa(pid))
	status, err := readFields(filepath.Join(at, "status"))
	if err != nil {
		return Usage{}, err
	}
	inout, err := readFields(filepath.Join(at, "io"))
	if err != nil {
		return Usage{}, err
	}
	processor, err := readProcessor(filepath.Join(at, "stat"))
	if err != nil {
		return Usage{}, err
	}
	return Usage{
		Resident: status["VmRSS"] << 10, Processor: processor,
		Read: inout["rchar"], Written: inout["wchar"],
	}, nil
}

// readFields reads lines of a name, a colon and a number.
func readFields(path string) (map[string]int64, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("usage: %w", err)
	}
	fields := map[string]int64{}
	for line := range strings.Lines(string(text)) {
		name, rest, _ := strings.Cut(line, ":")
		number, _, _ := strings.Cut(strings.TrimSpace(rest), " ")
		if value, err := strconv.ParseInt(number, 10, 64); err == nil {
			fields[name] = value
		}
	}
	return fields, nil
}

// readProcessor returns the time on any core, in user and system mode.
func readProcessor(path string) (time.Duration, error) {
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
	return time.Duration(sum) * (time.Second / ticks), nil
}
