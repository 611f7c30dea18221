package direct

import (
	"context"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/rcrowley/go-metrics"

	"github.com/chiveramp/chiveramp/internal/core/catalog"
	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/core/origin"
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
	// streamRecordWait limits how long the first event of a stream waits for its record: two calls to
	// the store from another region, the first of which gets a lease.
	streamRecordWait = 120 * time.Millisecond
	// findRecordTimeout limits the question for a record, for which a caller waits.
	findRecordTimeout = 300 * time.Millisecond
	// historyInterval is how often the records of versions are compared with what is listed, and how
	// soon one that could not be read is read again.
	historyInterval = time.Second
	// recordPause is the pause after a failed write.
	recordPause = 100 * time.Millisecond
)

// streamRecord is the value of a stream's record in the store, servingRecord that of the versions of
// a service.
type (
	streamRecord struct {
		Service  catalog.Service `json:"service"`
		Software fleet.Software  `json:"software"`
	}
	servingRecord struct {
		Versions []fleet.Software `json:"versions"`
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

	// lease and leaseUntil belong to run.
	lease      platform.Lease
	leaseUntil time.Time

	mu      sync.Mutex
	waiting map[string][]chan struct{} // closed once the stream's record is written
	// late is set while records take longer than their streams wait, which then don't.
	late bool

	written, unwritten metrics.Counter
}

func newStreamRecords(store *platform.Store, s *state, callTimeout time.Duration, r metrics.Registry, logger log.Logger) *streamRecords {
	return &streamRecords{
		store: store, state: s, logger: logger, callTimeout: callTimeout, wake: make(chan struct{}, 1), waiting: make(map[string][]chan struct{}),
		written:   metrics.GetOrRegisterCounter("stream_records;written=yes", r),
		unwritten: metrics.GetOrRegisterCounter("stream_records;written=late", r),
	}
}

// notify has the streams recorded that wait for it.
func (r *streamRecords) notify() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// await waits until the store has a record of a stream. It gives up early if the store is slow: the
// keepers have the stream too, so that it takes the loss of all instances to stop it.
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
	if late || r.state.streamStored(id) {
		r.forget(id)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, streamRecordWait)
	defer cancel()
	select {
	case <-written:
	case <-ctx.Done():
		r.forget(id)
		if !errors.Is(ctx.Err(), context.DeadlineExceeded) {
			return // the caller has left
		}
		r.unwritten.Inc(1)
		r.setLate(true)
		_ = level.Warn(r.logger).Log("step", "record", "stream", id, "err", "not written in time")
	}
}

func (r *streamRecords) forget(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.waiting, id)
}

func (r *streamRecords) setLate(late bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.late = late
}

// run writes records until the context ends.
func (r *streamRecords) run(ctx context.Context) error {
	if switches.Off(switches.StreamRecords) {
		return nil
	}
	for ctx.Err() == nil {
		streams := r.state.streamsToStore(maxStreamWrites)
		if len(streams) == 0 {
			select {
			case <-ctx.Done():
			case <-r.wake:
			}
			continue
		}
		started := r.state.uptime()
		if err := r.write(ctx, streams); err != nil {
			r.state.returnStreams(streams)
			_ = level.Warn(r.logger).Log("step", "record", "streams", len(streams), "err", err)
			sleep(ctx, recordPause)
			continue
		}
		r.markWritten(streams, r.state.uptime()-started)
	}
	return nil
}

func (r *streamRecords) markWritten(streams []origin.Stream, took time.Duration) {
	r.state.markStored(streams)
	r.written.Inc(int64(len(streams)))
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range streams {
		for _, c := range r.waiting[s.ID] {
			close(c)
		}
		delete(r.waiting, s.ID)
	}
	r.late = r.late && took >= streamRecordWait
}

func (r *streamRecords) write(ctx context.Context, streams []origin.Stream) error {
	ctx, cancel := context.WithTimeout(ctx, r.callTimeout)
	defer cancel()
	now := r.state.clock()
	if r.lease.IsZero() || now.After(r.leaseUntil) {
		lease, _, err := r.store.Grant(ctx, streamRecordTTL)
		if err != nil {
			return fmt.Errorf("grant lease: %w", err)
		}
		r.lease, r.leaseUntil = lease, now.Add(streamRecordTTL-origin.Retention)
	}
	writes := make([]platform.Write, 0, len(streams))
	for _, s := range streams {
		value, err := json.Marshal(streamRecord{Service: s.Service, Software: s.Software})
		if err != nil {
			return fmt.Errorf("encode record: %w", err)
		}
		writes = append(writes, platform.Write{Key: streamKey(s.ID), Value: value, Lease: r.lease, Unguarded: true})
	}
	_, err := r.store.Put(ctx, writes...)
	if errors.Is(err, platform.ErrNotFound) || errors.Is(err, platform.ErrRestored) {
		r.lease = platform.Lease{}
	}
	return err
}

// find asks the store for the record of a stream, and for the versions that have served if they are
// not known yet.
func (r *streamRecords) find(ctx context.Context, service catalog.Service, id string) origin.Lookup {
	ctx, cancel := context.WithTimeout(ctx, findRecordTimeout)
	defer cancel()
	var lookup origin.Lookup
	if id == "" { // the caller doesn't say which stream it is
		lookup.Read = true
	} else if item, _, err := r.store.Get(ctx, streamKey(id)); err == nil {
		var record streamRecord
		if err := json.Unmarshal(item.Value, &record); err != nil {
			_ = level.Warn(r.logger).Log("step", "record", "stream", id, "err", err)
			return lookup
		}
		lookup.Read, lookup.Found, lookup.Software = true, record.Service == service, record.Software
		if lookup.Found {
			r.state.keepStored(origin.Stream{Service: service, ID: id, Software: record.Software})
			return lookup
		}
	} else if errors.Is(err, platform.ErrNotFound) {
		lookup.Read = true
	} else {
		_ = level.Warn(r.logger).Log("step", "record", "stream", id, "err", err)
		return lookup
	}
	if !r.state.onRecord(service) {
		r.readHistory(ctx)
	}
	lookup.History = r.state.onRecord(service) && r.state.hasList()
	return lookup
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
		var record servingRecord
		if err := json.Unmarshal(i.Value, &record); err != nil {
			_ = level.Warn(r.logger).Log("step", "history", "key", i.Key, "err", err)
			return // a version that can't be read may have begun a stream
		}
		history = append(history, origin.Serving{Service: catalog.Service(strings.TrimPrefix(i.Key, servingPrefix)), Versions: record.Versions, Revision: i.Revision})
	}
	r.state.recordHistory(history)
	_ = r.logger.Log("step", "history", "services", len(history))
}

// updateHistory reads the versions that have served, until those that serve now are on record, and
// writes them if this instance watches the store.
func (r *streamRecords) updateHistory(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, r.callTimeout)
	defer cancel()
	if r.state.historyDue() {
		r.readHistory(ctx)
	}
	overtaken := false
	for _, s := range r.state.historyToWrite() {
		value, err := json.Marshal(servingRecord{Versions: s.Versions})
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
	if overtaken || r.state.historyBehind() {
		r.readHistory(ctx)
	}
}

// streamsToStore returns streams to record in the store, markStored records that they are, and
// returnStreams that they are not.
func (s *state) streamsToStore(limit int) []origin.Stream {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.origins.TakeUnstored(limit)
}

func (s *state) returnStreams(streams []origin.Stream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.origins.ReturnUnstored(streams)
}

func (s *state) markStored(streams []origin.Stream) {
	s.mu.Lock()
	defer s.mu.Unlock()
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

// historyDue reports whether the versions that have served must be read.
func (s *state) historyDue() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.origins.HistoryDue()
}

// historyBehind reports whether a version that serves alone was not on record when that was read.
func (s *state) historyBehind() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.origins.Behind(s.clock())
}

// onRecord reports whether the versions on record were read, and those of a service are.
func (s *state) onRecord(service catalog.Service) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.origins.HistoryDue() && s.origins.OnRecord(service)
}

// hasList reports whether a list of endpoints was received.
func (s *state) hasList() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.listed
}

func (s *state) recordHistory(history []origin.Serving) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.origins.ReadHistory(s.clock(), history)
}

func (s *state) recordServing(serving origin.Serving) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.origins.ReadServing(s.clock(), serving)
}

// historyToWrite returns the records of versions that this instance has to write: one of those that
// watch the store, which are few however many instances there are.
func (s *state) historyToWrite() []origin.Serving {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.watching || !s.listed {
		return nil
	}
	listed := make(map[catalog.Service][]fleet.Software)
	for _, e := range s.roster.All() {
		listed[e.Service] = append(listed[e.Service], e.Software)
	}
	return s.origins.Unrecorded(s.clock(), listed)
}

// forgetStored has the versions and streams recorded again, after the store has come back from an
// older copy.
func (s *state) forgetStored() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.origins.ForgetHistory()
}

// countOrigin counts a stream that a caller has taken up here.
func (n *Node) countOrigin(v origin.Verdict, source string) {
	metrics.GetOrRegisterCounter("streams_taken_up;verdict="+string(v)+";from="+source, n.registry).Inc(1)
}
