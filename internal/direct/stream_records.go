package direct

import (
	"context"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/rcrowley/go-metrics"
	"golang.org/x/sync/errgroup"

	"github.com/chiveramp/chiveramp/internal/core/catalog"
	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/core/origin"
	"github.com/chiveramp/chiveramp/internal/core/watcher"
	"github.com/chiveramp/chiveramp/internal/switches"
	"github.com/chiveramp/chiveramp/platform"
)

const (
	// streamPrefix is the key prefix of the records of streams, servingPrefix that of the versions
	// which serve or have served a service.
	streamPrefix  = "chiveramp/streams/"
	servingPrefix = "chiveramp/serving/"
	// streamRecordTTL is the lifetime of a lease for records; one is used for origin.Retention.
	streamRecordTTL = 2 * origin.Retention
	// maxStreamWrites is the store's limit on the writes of one call.
	maxStreamWrites = 32
	// leaseMargin is how long before its end a lease is replaced while streams are recorded.
	leaseMargin = 5 * time.Second
	// maxRecordCalls limits the calls that write records at once.
	maxRecordCalls = 4
	// streamRecordWait limits how long the first event of a stream waits for its record: a call to the
	// store from the farthest region and the time that it takes there.
	streamRecordWait = 120 * time.Millisecond
	// findRecordTimeout limits the question for a record, for which a caller waits.
	findRecordTimeout = 300 * time.Millisecond
	// historyInterval is how often the records of versions are compared with what is listed, and how
	// soon one that could not be read is read again.
	historyInterval = time.Second
	// rereadInterval is how often the records of versions are read again while another instance has
	// changed them, or is about to.
	rereadInterval = 10 * time.Second
)

var errGarbledRecord = errors.New("record can't be read")

// streamRecord is the value of a stream's record in the store, servingRecord that of the versions of
// a service.
type (
	streamRecord struct {
		Service  catalog.Service `json:"service"`
		Software fleet.Software  `json:"software"`
	}
	servingRecord struct {
		Versions []fleet.Software `json:"versions"`
		Era      int64            `json:"era,omitempty"`
	}
)

func streamKey(id string) string { return streamPrefix + hex.EncodeToString([]byte(id)) }

func servingKey(s catalog.Service) string { return servingPrefix + string(s) }

// streamRecords keeps the origins of streams in the store, several with one call. It is safe for
// concurrent use.
type streamRecords struct {
	store       *platform.Store
	state       *state
	logger      log.Logger
	callTimeout time.Duration
	wake        chan struct{}

	// readAt is when the records of versions were last read, behindSince the time since which one has
	// lacked a version that serves. Only updateHistory uses them.
	readAt, behindSince time.Time

	mu         sync.Mutex
	lease      platform.Lease
	leaseUntil time.Time
	waiting    map[string][]chan struct{} // closed once the stream's record is written
	// late is set while records take longer than streamRecordWait. First events don't wait then.
	late bool
	// pace gives the delays after failed calls. No call is made before pausedUntil.
	pace        *watcher.Pace
	pausedUntil time.Time

	written, unwritten metrics.Counter
}

func newStreamRecords(store *platform.Store, s *state, name string, callTimeout time.Duration, r metrics.Registry, logger log.Logger) *streamRecords {
	return &streamRecords{
		store: store, state: s, logger: logger, callTimeout: callTimeout, wake: make(chan struct{}, 1), waiting: make(map[string][]chan struct{}),
		pace:      watcher.NewPace(name + "/" + streamPrefix),
		written:   metrics.GetOrRegisterCounter("stream_records;written=yes", r),
		unwritten: metrics.GetOrRegisterCounter("stream_records;written=late", r),
	}
}

// notify wakes run, which records the streams that wait.
func (r *streamRecords) notify() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// await waits until the store has a record of a stream, streamRecordWait at most: the record is needed
// only if the keepers are lost too.
func (r *streamRecords) await(ctx context.Context, id string) {
	if switches.Off(switches.StreamRecords) {
		return
	}
	r.mu.Lock()
	written := make(chan struct{})
	r.waiting[id] = append(r.waiting[id], written)
	late := r.late
	r.mu.Unlock()
	r.notify()
	defer r.stopWaiting(id, written)
	if late || r.state.streamStored(id) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, streamRecordWait)
	defer cancel()
	select {
	case <-written:
	case <-ctx.Done():
		if !errors.Is(ctx.Err(), context.DeadlineExceeded) {
			return // the caller has left
		}
		r.unwritten.Inc(1)
		r.setLate(true)
		_ = level.Warn(r.logger).Log("step", "record", "stream", id, "err", "not written in time")
	}
}

func (r *streamRecords) stopWaiting(id string, written chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.waiting[id] = slices.DeleteFunc(r.waiting[id], func(c chan struct{}) bool { return c == written }); len(r.waiting[id]) == 0 {
		delete(r.waiting, id)
	}
}

func (r *streamRecords) setLate(late bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.late = late
}

// run writes records until the context ends. Up to maxRecordCalls calls are in flight at once, so that a
// stream that begins during one doesn't wait for two.
func (r *streamRecords) run(ctx context.Context) error {
	if switches.Off(switches.StreamRecords) {
		return nil
	}
	var group errgroup.Group
	group.SetLimit(maxRecordCalls)
	for ctx.Err() == nil {
		if pause := r.pause(); pause > 0 {
			sleep(ctx, pause)
			continue
		}
		if !r.state.hasStreamsToStore() {
			select {
			case <-ctx.Done():
			case <-r.wake:
			}
			continue
		}
		lease, err := r.currentLease(ctx, 0)
		if err != nil {
			_ = level.Warn(r.logger).Log("step", "record", "err", err)
			r.failed()
			continue
		}
		streams, losses := r.state.streamsToStore(maxStreamWrites)
		if len(streams) == 0 {
			continue // they have been recorded meanwhile
		}
		group.Go(func() error {
			started := r.state.clock()
			if err := r.write(ctx, lease, streams); err != nil {
				_ = level.Warn(r.logger).Log("step", "record", "streams", len(streams), "err", err)
				r.state.returnStreams(streams)
				r.failed()
				r.notify()
				return nil
			}
			r.markWritten(streams, losses, r.state.clock().Sub(started))
			return nil
		})
	}
	return group.Wait()
}

// pause returns how long to wait before the next call, after one that failed.
func (r *streamRecords) pause() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.pausedUntil.Sub(r.state.clock())
}

// failed delays the next call, by longer with each failure in series.
func (r *streamRecords) failed() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if until := r.state.clock().Add(r.pace.Failed(true)); until.After(r.pausedUntil) {
		r.pausedUntil = until
	}
}

func (r *streamRecords) markWritten(streams []origin.Stream, losses int, took time.Duration) {
	r.state.markStored(streams, losses)
	r.written.Inc(int64(len(streams)))
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pace.Answered()
	for _, s := range streams {
		for _, c := range r.waiting[s.ID] {
			close(c)
		}
		delete(r.waiting, s.ID)
	}
	r.late = r.late && took >= streamRecordWait
}

// prepareLease has a lease granted before a stream needs it.
func (r *streamRecords) prepareLease(ctx context.Context) {
	if !r.state.recordsStreams() {
		return
	}
	if _, err := r.currentLease(ctx, leaseMargin); err != nil {
		_ = level.Warn(r.logger).Log("step", "record", "err", err)
	}
}

// currentLease returns a lease for records that begin within a time from now.
func (r *streamRecords) currentLease(ctx context.Context, margin time.Duration) (platform.Lease, error) {
	now := r.state.clock()
	r.mu.Lock()
	lease, until := r.lease, r.leaseUntil
	r.mu.Unlock()
	if !lease.IsZero() && now.Add(margin).Before(until) {
		return lease, nil
	}
	ctx, cancel := context.WithTimeout(ctx, r.callTimeout)
	defer cancel()
	lease, ttl, err := r.store.Grant(ctx, streamRecordTTL)
	if err != nil {
		return platform.Lease{}, fmt.Errorf("grant lease: %w", err)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lease, r.leaseUntil = lease, now.Add(max(ttl-origin.Retention, ttl/2)) // so that a record lives for Retention
	return lease, nil
}

// leaseLost has another lease granted, and the records written again that have ended with this one.
func (r *streamRecords) leaseLost(lease platform.Lease) {
	r.mu.Lock()
	lost := r.lease == lease
	if lost {
		r.lease = platform.Lease{}
	}
	r.mu.Unlock()
	if lost {
		r.state.forgetRecords()
	}
}

func (r *streamRecords) write(ctx context.Context, lease platform.Lease, streams []origin.Stream) error {
	ctx, cancel := context.WithTimeout(ctx, r.callTimeout)
	defer cancel()
	writes := make([]platform.Write, 0, len(streams))
	for _, s := range streams {
		value, err := json.Marshal(streamRecord{Service: s.Service, Software: s.Software})
		if err != nil {
			return fmt.Errorf("encode record: %w", err)
		}
		writes = append(writes, platform.Write{Key: streamKey(s.ID), Value: value, Lease: lease, Unguarded: true})
	}
	_, err := r.store.Put(ctx, writes...)
	if errors.Is(err, platform.ErrNotFound) || errors.Is(err, platform.ErrRestored) {
		r.leaseLost(lease)
	}
	return err
}

// find asks the store for the record of a stream and, if there is none, for the versions that have
// served.
func (r *streamRecords) find(ctx context.Context, service catalog.Service, id string) origin.Lookup {
	ctx, cancel := context.WithTimeout(ctx, findRecordTimeout)
	defer cancel()
	lookup, err := r.findStream(ctx, service, id)
	if err == nil && !lookup.Found {
		lookup.History, err = r.readServing(ctx, service)
	}
	if err != nil {
		_ = level.Warn(r.logger).Log("step", "record", "stream", id, "err", err)
		return origin.Lookup{Garbled: errors.Is(err, errGarbledRecord)}
	}
	lookup.Read = true
	return lookup
}

func (r *streamRecords) findStream(ctx context.Context, service catalog.Service, id string) (origin.Lookup, error) {
	var lookup origin.Lookup
	if id == "" {
		return lookup, nil // the caller doesn't say which stream it is
	}
	item, _, err := r.store.Get(ctx, streamKey(id))
	if errors.Is(err, platform.ErrNotFound) {
		return lookup, nil
	}
	if err != nil {
		return lookup, err
	}
	var record streamRecord
	if err := json.Unmarshal(item.Value, &record); err != nil {
		return lookup, fmt.Errorf("%w: key %s: %w", errGarbledRecord, item.Key, err)
	}
	if lookup.Found = record.Service == service; lookup.Found {
		lookup.Software = record.Software
		r.state.keepStored(origin.Stream{Service: service, ID: id, Software: record.Software})
	}
	return lookup, nil
}

// readServing reads the versions that have served a service. It reports whether they are complete.
func (r *streamRecords) readServing(ctx context.Context, service catalog.Service) (bool, error) {
	item, _, err := r.store.Get(ctx, servingKey(service))
	if errors.Is(err, platform.ErrNotFound) {
		return false, nil
	}
	if err != nil {
		return false, err
	}
	serving, err := decodeServing(item)
	if err != nil {
		return false, err
	}
	r.state.recordServing(serving)
	return serving.Era == r.store.Era() && r.state.hasList(), nil
}

func decodeServing(i platform.Item) (origin.Serving, error) {
	var record servingRecord
	if err := json.Unmarshal(i.Value, &record); err != nil {
		return origin.Serving{}, fmt.Errorf("%w: key %s: %w", errGarbledRecord, i.Key, err)
	}
	return origin.Serving{Service: catalog.Service(strings.TrimPrefix(i.Key, servingPrefix)), Versions: record.Versions, Revision: i.Revision, Era: record.Era}, nil
}

// readHistory reads the versions that have served.
func (r *streamRecords) readHistory(ctx context.Context) {
	items, _, err := r.store.List(ctx, servingPrefix, false)
	if err != nil {
		_ = level.Warn(r.logger).Log("step", "history", "err", err)
		return
	}
	var history []origin.Serving
	for _, i := range items {
		serving, err := decodeServing(i)
		if err != nil {
			_ = level.Warn(r.logger).Log("step", "history", "err", err)
			return // a version that can't be read may have begun a stream
		}
		history = append(history, serving)
	}
	r.state.recordHistory(r.store.Era(), history)
	_ = r.logger.Log("step", "history", "services", len(history))
}

// updateHistory reads the versions that have served, until those that serve now are on record, and
// writes them if this instance watches the store.
func (r *streamRecords) updateHistory(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, r.callTimeout)
	defer cancel()
	r.prepareLease(ctx)
	now := r.state.clock()
	due, behind, differs := r.state.historyDue()
	if !behind {
		r.behindSince = now
	}
	if due || behind || differs && now.Sub(r.readAt) >= rereadInterval {
		r.readAt = now
		r.readHistory(ctx)
	}
	overtaken := false
	for _, s := range r.state.historyToWrite(now.Sub(r.behindSince) >= rereadInterval) {
		value, err := json.Marshal(servingRecord{Versions: s.Versions, Era: s.Era})
		if err != nil {
			_ = level.Error(r.logger).Log("step", "history", "service", s.Service, "err", err)
			return
		}
		s.Revision, err = r.store.Put(ctx, platform.Write{Key: servingKey(s.Service), Value: value, Guard: s.Revision})
		_ = r.logger.Log("step", "history", "service", s.Service, "versions", fmt.Sprint(s.Versions), "err", err)
		switch {
		case err == nil:
			r.state.recordServing(s)
		case errors.Is(err, platform.ErrConflict):
			overtaken = true // another instance has written it
		default:
			return
		}
	}
	if overtaken {
		r.readHistory(ctx)
	}
}

// streamsToStore returns streams to record in the store. They end with markStored or returnStreams.
func (s *state) streamsToStore(limit int) (streams []origin.Stream, losses int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.origins.TakeUnstored(limit), s.origins.Losses()
}

func (s *state) returnStreams(streams []origin.Stream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.origins.ReturnUnstored(streams)
}

func (s *state) markStored(streams []origin.Stream, losses int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if losses != s.origins.Losses() {
		return // the records may be gone
	}
	for _, stream := range streams {
		s.origins.MarkStored(stream.ID)
	}
}

func (s *state) streamStored(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.origins.Stored(id)
}

func (s *state) keepStored(stream origin.Stream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.origins.KeepStored(s.clock(), stream)
}

func (s *state) hasStreamsToStore() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.origins.HasUnstored()
}

// historyDue reports whether the records of versions must be read, whether they lack the only version
// of a service, and whether they differ from the versions known here.
func (s *state) historyDue() (due, behind, differs bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock()
	return s.origins.HistoryDue(), s.origins.Behind(now), s.origins.HistoryDiffers(now)
}

// hasList reports whether a list of endpoints was received.
func (s *state) hasList() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.listed
}

func (s *state) recordHistory(era int64, history []origin.Serving) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.origins.ReadHistory(s.clock(), era, history)
}

func (s *state) recordServing(serving origin.Serving) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.origins.ReadServing(s.clock(), serving)
}

// historyToWrite returns the records of versions that this instance has to write. The few instances that
// watch the store write them; if a record is overdue, since those are of an earlier build, any one does.
func (s *state) historyToWrite(overdue bool) []origin.Serving {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.watching && !overdue {
		return nil
	}
	return s.origins.Unrecorded(s.clock())
}

// recordsStreams reports whether streams that begin now are recorded in the store.
func (s *state) recordsStreams() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.origins.Recording(s.clock())
}

// forgetHistory has the versions and streams recorded again, after the store has come back from an
// older copy, forgetRecords only the streams.
func (s *state) forgetHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.origins.ForgetHistory(s.clock())
}

func (s *state) forgetRecords() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.origins.ForgetStored()
}

// countOrigin counts a stream that a caller has taken up here.
func (n *Node) countOrigin(b origin.Basis, source string) {
	metrics.GetOrRegisterCounter("streams_taken_up;basis="+string(b)+";from="+source, n.registry).Inc(1)
}
