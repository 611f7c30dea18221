package fairshare

import (
	"math"
	"time"
)

const (
	// recentHalfLife is the half-life of what a workspace sends now.
	recentHalfLife = 1500 * time.Millisecond
	// usualTime is over how long a workspace's usual rate is measured, in parts of bucketTime. The
	// last surgeBuckets don't count: a surge of some seconds is not usual.
	usualTime    = 64 * time.Second
	bucketTime   = 2 * time.Second
	buckets      = int64(usualTime / bucketTime)
	surgeBuckets = 5
	// maxMeters bounds the workspaces of which an instance measures the usage.
	maxMeters = 256
)

// Usage is how many requests a second a workspace sends through one instance.
type Usage struct {
	// Workspace identifies it.
	Workspace uint64 `cbor:"i"`
	// Recent and Usual are its rates now and before the last seconds, without the request that asks.
	Recent float32 `cbor:"r,omitempty"`
	Usual  float32 `cbor:"u,omitempty"`
}

// rate is a rate with exponential decay.
type rate struct {
	sum float64
	at  time.Duration
}

func (r *rate) decay(now, halfLife time.Duration) {
	if now > r.at {
		r.sum *= math.Exp2(-float64(now-r.at) / float64(halfLife))
		r.at = now
	}
}

func (r *rate) perSecond(halfLife time.Duration) float64 {
	return r.sum * math.Ln2 / halfLife.Seconds()
}

// Meters measure the usage of workspaces at one instance. The zero value has measured nothing. It is
// not safe for concurrent use.
type Meters struct {
	meters map[uint64]*meter
	// began is the first bucket that is whole, counted from time 0.
	began int64
}

// meter counts the requests of a workspace.
type meter struct {
	recent rate
	counts [buckets]uint16 // in a ring, up to the bucket newest
	newest int64
}

// Count counts a request of a workspace, and returns its usage before.
func (m *Meters) Count(now time.Duration, workspace uint64) Usage {
	bucket := int64(now / bucketTime)
	if m.meters == nil {
		m.meters, m.began = make(map[uint64]*meter), bucket+1
	}
	w := m.meters[workspace]
	if w == nil {
		m.makeRoom(bucket)
		w = &meter{newest: bucket}
		m.meters[workspace] = w
	}
	w.recent.decay(now, recentHalfLife)
	w.advance(bucket)
	u := Usage{Workspace: workspace, Recent: float32(w.recent.perSecond(recentHalfLife)), Usual: float32(w.usual(m.began))}
	w.recent.sum++
	w.counts[bucket%buckets] += min(1, math.MaxUint16-w.counts[bucket%buckets])
	return u
}

// advance clears the buckets between the newest one and the present one.
func (w *meter) advance(bucket int64) {
	for b := max(w.newest, bucket-buckets) + 1; b <= bucket; b++ {
		w.counts[b%buckets] = 0
	}
	w.newest = max(w.newest, bucket)
}

// usual returns the rate before the last surgeBuckets, or up to now if the instance hasn't measured
// for longer.
func (w *meter) usual(began int64) float64 {
	to := w.newest - surgeBuckets
	if to <= began {
		to = w.newest
	}
	from := max(began, w.newest-buckets+1)
	sum := 0
	for b := from; b < to; b++ {
		sum += int(w.counts[b%buckets])
	}
	return float64(sum) / (float64(max(1, to-from)) * bucketTime.Seconds())
}

// makeRoom forgets the workspace that has sent least if there are too many.
func (m *Meters) makeRoom(bucket int64) {
	if len(m.meters) < maxMeters {
		return
	}
	least, lowest := uint64(0), math.MaxInt
	for id, w := range m.meters {
		w.advance(bucket)
		sum := 0
		for _, n := range w.counts {
			sum += int(n)
		}
		if sum < lowest || sum == lowest && id < least {
			least, lowest = id, sum
		}
	}
	delete(m.meters, least)
}
