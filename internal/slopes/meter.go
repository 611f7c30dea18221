package slopes

import (
	"net"
	"runtime"
	"sync/atomic"
	"syscall"
	"time"
)

// minMeasureTime is the least time that one cost is measured for.
const minMeasureTime = 150 * time.Millisecond

// cpuTime returns the processor time of this process so far.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// cpuOf returns the processor time of one run of work, in nanoseconds, all threads
// and the collector included.
func cpuOf(work func()) float64 {
	work()
	runtime.GC()
	startCPU, start, n := cpuTime(), time.Now(), 0
	for time.Since(start) < minMeasureTime {
		work()
		n++
	}
	return float64(cpuTime()-startCPU) / float64(n)
}

// memoryOf returns what a build keeps resident, in bytes of heap and stacks.
func memoryOf[T any](build func() T) float64 {
	before := residentBytes()
	built := build()
	after := residentBytes()
	runtime.KeepAlive(built)
	return float64(after) - float64(before)
}

func residentBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc + m.StackInuse
}

// trafficCounter counts what goes over connections.
type trafficCounter struct {
	bytes  atomic.Int64
	writes atomic.Int64
}

// headerBytes is the IP and TCP header of one segment with its timestamp option, and
// the acknowledgement that it causes, in bytes.
const headerBytes = 2 * 52

// totalBytes returns the payload of both directions with the headers of its segments. Only
// one side is counted, so its own writes stand for half of the segments.
func (w *trafficCounter) totalBytes() float64 {
	return float64(w.bytes.Load() + 2*headerBytes*w.writes.Load())
}

func (w *trafficCounter) wrap(c net.Conn) net.Conn {
	return &countedConn{Conn: c, traffic: w}
}

type countedConn struct {
	net.Conn
	traffic *trafficCounter
}

func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.traffic.bytes.Add(int64(n))
	return n, err
}

func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.traffic.bytes.Add(int64(n))
	c.traffic.writes.Add(1)
	return n, err
}
