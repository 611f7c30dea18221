package engine

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

const (
	stepDoublingRequests = 32 // additional requests in a batch that double the inter-token latency
	prefillUnitTokens    = 100
	sweepInterval        = time.Second
	minWait              = 50 * time.Microsecond
)

// runBatchLoop generates a token for every running request at each step, until
// the engine stops.
func (s *Server) runBatchLoop() error {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		wait, idle := s.stepBatch()
		if idle {
			wait = sweepInterval
		}
		if wait > 0 {
			timer.Reset(max(wait, minWait))
		}
		if !s.waitForStep(timer, wait > 0, idle) {
			return nil
		}
	}
}

// waitForStep waits for the timer or, when idle, for a new request. It returns
// false if the engine has stopped.
func (s *Server) waitForStep(timer *time.Timer, timed, idle bool) bool {
	if !timed {
		select {
		case <-s.stop:
			return false
		default:
			return true
		}
	}
	var work chan struct{}
	if idle {
		work = s.workReady
	}
	select {
	case <-s.stop:
		return false
	case <-timer.C:
	case <-work:
	}
	return true
}

// stepBatch runs one step. It returns the time until the next one, or idle if
// there is nothing to run.
func (s *Server) stepBatch() (wait time.Duration, idle bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	s.refresh(now)
	s.sweepRuns(now)
	s.admit(now)
	nextPrefillDone := s.emitTokens(now)
	if len(s.running) == 0 {
		return 0, true
	}
	if nextPrefillDone.After(now) {
		return nextPrefillDone.Sub(now), false
	}
	slow := time.Duration(s.faults.SlowMillis) * time.Millisecond
	return s.stepTime + s.stepTime*time.Duration(len(s.running)-1)/stepDoublingRequests + slow, false
}

// emitTokens generates a token for each running request that has finished its
// prefill. If there is none, it returns when the first prefill will end.
func (s *Server) emitTokens(now time.Time) (nextPrefillDone time.Time) {
	stepped := false
	for _, r := range s.running {
		if r.prefillDone.After(now) {
			if nextPrefillDone.IsZero() || r.prefillDone.Before(nextPrefillDone) {
				nextPrefillDone = r.prefillDone
			}
			continue
		}
		stepped = true
		s.counts.Tokens++
		r.emitToken(now)
	}
	s.running = slices.DeleteFunc(s.running, s.release)
	if stepped {
		return time.Time{}
	}
	return nextPrefillDone
}

// release drops the reference of an ended run to its resident, and reports
// whether the run has ended.
func (s *Server) release(r *run) bool {
	if r.ended && r.resident != nil {
		r.resident.activeRuns--
		r.resident = nil
	}
	return r.ended
}

// admit starts waiting runs, the lowest priority number first, while the batch
// and the KV cache have room. An empty batch admits a run of any size.
func (s *Server) admit(now time.Time) {
	slices.SortStableFunc(s.waiting, func(a, b *run) int {
		return cmp.Or(cmp.Compare(a.request.Priority, b.request.Priority), a.arrived.Compare(b.arrived))
	})
	for len(s.waiting) > 0 && len(s.running) < s.maxBatch {
		r := s.waiting[0]
		if len(s.running) > 0 && s.kvTokens()+r.kvTokens() > int(s.state.KV/kvBytesPerToken) {
			return
		}
		s.waiting = s.waiting[1:]
		s.startRun(r, now)
	}
}

func (s *Server) startRun(r *run, now time.Time) {
	r.started = true
	s.counts.Requests[r.attempt]++
	if r.idempotencyKey != "" {
		s.counts.Keys[r.idempotencyKey]++
	}
	if s.faults.CrashOn != "" && strings.Contains(r.promptText, s.faults.CrashOn) {
		s.crashLocked(r.attempt)
		return
	}
	cached := s.cache.cachePrompt(r.request.Model, r.promptText, now)
	units := (max(r.promptTokens-cached, 1) + prefillUnitTokens - 1) / prefillUnitTokens
	r.prefillDone = now.Add(s.prefillTime * time.Duration(units))
	s.running = append(s.running, r)
}

func (s *Server) kvTokens() int {
	tokens := 0
	for _, r := range s.running {
		tokens += r.kvTokens()
	}
	return tokens
}

// sweepRuns deletes runs that have had no reader for the stream retention, and
// cancels those of them that still run.
func (s *Server) sweepRuns(now time.Time) {
	if now.Sub(s.lastSweep) < sweepInterval {
		return
	}
	s.lastSweep = now
	for attempt, r := range s.runs {
		if r.readers > 0 || now.Sub(r.idleSince) < s.streamRetention {
			continue
		}
		if !r.ended {
			s.cancel(r, now)
		}
		delete(s.runs, attempt)
	}
}

// cancel ends a run and reports whether it had started.
func (s *Server) cancel(r *run, now time.Time) bool {
	if r.ended {
		return r.started
	}
	r.finish("cancelled", now)
	s.counts.Cancelled++
	s.waiting = slices.DeleteFunc(s.waiting, s.release)
	s.running = slices.DeleteFunc(s.running, s.release)
	return r.started
}

func (s *Server) enqueue(r *run) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs[r.attempt] = r
	s.waiting = append(s.waiting, r)
	select {
	case s.workReady <- struct{}{}:
	default:
	}
}
