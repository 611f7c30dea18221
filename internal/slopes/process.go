package slopes

import (
	"fmt"
	"os"
	"strconv"
	"strings"

	_ "github.com/chiveramp/chiveramp/internal/daemon" // linked so that the base memory includes the daemon's packages
)

// residentMemory returns the resident memory of this process, in bytes.
func residentMemory() (float64, error) {
	raw, err := os.ReadFile("/proc/self/status")
	if err != nil {
		return 0, fmt.Errorf("read resident memory: %w", err)
	}
	for line := range strings.Lines(string(raw)) {
		fields := strings.Fields(line)
		if len(fields) > 1 && fields[0] == "VmRSS:" {
			kilobytes, err := strconv.ParseFloat(fields[1], 64)
			return kilobytes * 1024, err
		}
	}
	return 0, fmt.Errorf("read resident memory: no VmRSS line")
}

// Measure runs all measurements. It takes the resident memory of the process first, as the
// base, before any component is created.
func Measure(r *Report) (base float64, err error) {
	base, err = residentMemory()
	if err != nil {
		return 0, err
	}
	Members(r)
	Suspects(r)
	Choices(r)
	Plans(r)
	for _, step := range []func(*Report) error{Lists, Heartbeats, Connections, Totals, Documents, Dispatchers, Probes, Claims, Trials} {
		if err := step(r); err != nil {
			return base, err
		}
	}
	return base, nil
}
