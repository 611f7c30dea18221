package direct

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/chiveramp/chiveramp/internal/core/suspect"
	"github.com/chiveramp/chiveramp/platform"
)

const (
	// verdictPrefix is the key prefix of the records of verdicts.
	verdictPrefix = "chiveramp/verdicts/"
	// verdictRecordTTL is the lifetime of a record, the longest that the store grants. A record is
	// written again after half of it.
	verdictRecordTTL = 10 * time.Minute
	// verdictInterval is how often the records are compared with the verdicts in force, and how soon
	// records that could not be read are read again.
	verdictInterval = time.Second
	// maxVerdictWrites limits the writes of one round.
	maxVerdictWrites = 16
)

// verdictRecord is the value of a verdict's record in the store. One without crashes no longer holds.
type verdictRecord struct {
	Key      suspect.Key `json:"key"`
	Crashes  int         `json:"crashes,omitempty"`
	Reviews  int         `json:"reviews,omitempty"`
	FailedMs int64       `json:"failedMs,omitempty"`
}

// writtenVerdict is a record that this instance has written.
type writtenVerdict struct {
	verdictRecord
	at time.Time
}

// verdictRecords keeps verdicts in the store, for the time after a loss of all instances. It is safe for
// concurrent use.
type verdictRecords struct {
	store       *platform.Store
	state       *state
	logger      log.Logger
	callTimeout time.Duration

	mu      sync.Mutex
	read    bool
	written map[suspect.Key]writtenVerdict
}

func newVerdictRecords(store *platform.Store, s *state, callTimeout time.Duration, logger log.Logger) *verdictRecords {
	return &verdictRecords{store: store, state: s, callTimeout: callTimeout, logger: logger, written: make(map[suspect.Key]writtenVerdict)}
}

// forgetWritten has the records written again, after the store has come back from an older copy.
func (r *verdictRecords) forgetWritten() {
	r.mu.Lock()
	defer r.mu.Unlock()
	clear(r.written)
}

// update reads the records once, and writes those that have changed.
func (r *verdictRecords) update(ctx context.Context) {
	if !r.state.storeAnswers() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, r.callTimeout)
	defer cancel()
	r.mu.Lock()
	read, due := r.read, r.state.verdictsToStore(r.written)
	r.mu.Unlock()
	if !read {
		if err := r.readAll(ctx); err != nil {
			_ = level.Warn(r.logger).Log("step", "verdicts", "err", err)
			return
		}
	}
	if err := r.write(ctx, due); err != nil {
		_ = level.Warn(r.logger).Log("step", "verdicts", "err", err)
	}
}

func (r *verdictRecords) readAll(ctx context.Context) error {
	items, _, err := r.store.List(ctx, verdictPrefix, true)
	if err != nil {
		return fmt.Errorf("read records: %w", err)
	}
	var records []verdictRecord
	for _, i := range items {
		var v verdictRecord
		if err := json.Unmarshal(i.Value, &v); err != nil {
			_ = level.Warn(r.logger).Log("step", "verdicts", "key", i.Key, "err", err)
			continue
		}
		records = append(records, v)
	}
	r.state.applyVerdictRecords(records)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.read = true
	return nil
}

func (r *verdictRecords) write(ctx context.Context, due []verdictRecord) error {
	if len(due) == 0 {
		return nil
	}
	lease, _, err := r.store.Grant(ctx, verdictRecordTTL)
	if err != nil {
		return fmt.Errorf("write records: %w", err)
	}
	writes := make([]platform.Write, 0, len(due))
	for _, v := range due {
		value, err := json.Marshal(v)
		if err != nil {
			return fmt.Errorf("write records: %w", err)
		}
		writes = append(writes, platform.Write{Key: verdictKey(v.Key), Value: value, Lease: lease, Unguarded: true})
	}
	if _, err := r.store.Put(ctx, writes...); err != nil {
		return fmt.Errorf("write records: %w", err)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.state.recordWrittenVerdicts(r.written, due)
	return nil
}

// verdictKey returns the store's key of a record; a part of a prompt may have any bytes, so it is hashed.
func verdictKey(k suspect.Key) string {
	return fmt.Sprintf("%s%016x", verdictPrefix, xxhash.Sum64String(string(k)))
}

// storeAnswers reports whether the store answered within storeReachableTime.
func (s *state) storeAnswers() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.storeReachable()
}

// verdictsToStore returns the records that this instance has to write: those of final verdicts for which
// it is the first reviewer, and those of its own that no longer hold.
func (s *state) verdictsToStore(written map[suspect.Key]writtenVerdict) []verdictRecord {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock()
	var due []verdictRecord
	inForce := make(map[suspect.Key]bool)
	for _, v := range s.crashes.Verdicts(now) {
		if v.Provisional {
			continue
		}
		inForce[v.Key] = true
		w, ok := written[v.Key]
		if ok && w.Crashes == v.Crashes && now.Sub(w.at) < verdictRecordTTL/2 || s.reviewer(v.Key, 0) != s.view.Self().Instance {
			continue
		}
		due = append(due, verdictRecord{Key: v.Key, Crashes: v.Crashes, Reviews: v.Reviews, FailedMs: v.FailedAt.UnixMilli()})
	}
	for key, w := range written {
		if !inForce[key] && w.Crashes > 0 {
			due = append(due, verdictRecord{Key: key})
		}
	}
	return due[:min(len(due), maxVerdictWrites)]
}

// recordWrittenVerdicts adds the records that were written, and forgets those that the store has removed.
func (s *state) recordWrittenVerdicts(written map[suspect.Key]writtenVerdict, records []verdictRecord) {
	now := s.clock()
	for _, v := range records {
		written[v.Key] = writtenVerdict{verdictRecord: v, at: now}
	}
	for key, w := range written {
		if now.Sub(w.at) > verdictRecordTTL {
			delete(written, key)
		}
	}
}

// applyVerdictRecords applies records of the store as reports of another instance. Clocks may differ: a
// crash is not later than now.
func (s *state) applyVerdictRecords(records []verdictRecord) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock()
	for _, r := range records {
		if r.Crashes == 0 {
			continue
		}
		failedAt := now.Add(min(0, time.UnixMilli(r.FailedMs).Sub(now)))
		s.crashes.Keep(now, suspect.Verdict{Key: r.Key, Crashes: r.Crashes, Reviews: r.Reviews, FailedAt: failedAt})
	}
}
