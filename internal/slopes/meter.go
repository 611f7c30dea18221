package slopes

import (
	"net"
	"runtime"
	"sync/atomic"
	"syscall"
	"time"
)

// minMeasureTime is the minimum duration of one CPU measurement.
const minMeasureTime = 150 * time.Millisecond

// cpuTime returns the CPU time that this process has used, user and system.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// cpuOf returns the CPU time of one run of work in nanoseconds, including all threads and
// the garbage collector.
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

// memoryOf returns the memory that the result of build retains, in bytes of heap and stacks.
func memoryOf[T any](build func() T) float64 {
	before := residentBytes()
	built := build()
	after := residentBytes()
	runtime.KeepAlive(built)
	return float64(after) - float64(before)
}

// residentBytes returns the live heap and stack bytes after garbage collection.
func residentBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc + m.StackInuse
}

// trafficCounter counts the bytes and writes of connections.
type trafficCounter struct {
	bytes  atomic.Int64
	writes atomic.Int64
}

// headerBytes is the size of the IP and TCP headers of one segment, with the timestamp
// option, and of the acknowledgement that it causes.
const headerBytes = 2 * 52

// totalBytes returns the payload of both directions plus the headers of its segments. Only
// the writes of one side are counted, and the other side is assumed to write as often.
func (t *trafficCounter) totalBytes() float64 {
	return float64(t.bytes.Load() + 2*headerBytes*t.writes.Load())
}

func (t *trafficCounter) wrap(c net.Conn) net.Conn {
	return &countedConn{Conn: c, traffic: t}
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
