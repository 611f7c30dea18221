package direct

import (
	"strconv"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/chiveramp/chiveramp/internal/core/catalog"
)

// stats counts requests by kind, rank and status.
type stats struct{ registry metrics.Registry }

func newStats(r metrics.Registry) *stats { return &stats{registry: r} }

// Done records the end of a request: its status and attempts, and the times to the first
// byte and to the complete answer.
func (s *stats) Done(route *catalog.Route, status, attempts int, firstByte, total time.Duration) {
	labels := ";kind=" + string(route.Kind) + ";level=" + strconv.Itoa(route.Level)
	metrics.GetOrRegisterCounter("requests"+labels+";status="+strconv.Itoa(status), s.registry).Inc(1)
	if attempts > 1 {
		metrics.GetOrRegisterCounter("repeats"+labels, s.registry).Inc(int64(attempts - 1))
	}
	if firstByte > 0 {
		metrics.GetOrRegisterTimer("first"+labels, s.registry).Update(firstByte)
	}
	metrics.GetOrRegisterTimer("whole"+labels, s.registry).Update(total)
}
