package slopes

import (
	"net"
	"runtime"
	"sync/atomic"
	"syscall"
	"time"
)

// measureTime is the least time that one cost is measured for.
const measureTime = 150 * time.Millisecond

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
	begin, since, n := cpuTime(), time.Now(), 0
	for time.Since(since) < measureTime {
		work()
		n++
	}
	return float64(cpuTime()-begin) / float64(n)
}

// memoryOf returns what a build keeps resident, in bytes of heap and stacks.
func memoryOf[T any](build func() T) float64 {
	before := resident()
	kept := build()
	after := resident()
	runtime.KeepAlive(kept)
	return float64(after) - float64(before)
}

func resident() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc + m.StackInuse
}

// wire counts what goes over connections.
type wire struct {
	bytes  atomic.Int64
	writes atomic.Int64
}

// headerBytes is the IP and TCP header of one segment with its timestamp option, and
// the acknowledgement that it causes, in bytes.
const headerBytes = 2 * 52

// total returns the payload of both directions with the headers of its segments. Only
// one side is counted, so its own writes stand for half of the segments.
func (w *wire) total() float64 {
	return float64(w.bytes.Load() + 2*headerBytes*w.writes.Load())
}

func (w *wire) wrap(c net.Conn) net.Conn {
	return &countedConn{Conn: c, wire: w}
}

type countedConn struct {
	net.Conn
	wire *wire
}

func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.wire.bytes.Add(int64(n))
	return n, err
}

func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.wire.bytes.Add(int64(n))
	c.wire.writes.Add(1)
	return n, err
}
