package engine

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

const (
	slope        = 32 // requests in a batch that double the time between tokens
	prefillUnit  = 100
	sweepEvery   = time.Second
	shortestWait = 50 * time.Microsecond
)

// runBatch gives every running request a token at each step.
func (s *Server) runBatch() error {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		wait, idle := s.stepBatch()
		if idle {
			wait = sweepEvery
		}
		if wait > 0 {
			timer.Reset(max(wait, shortestWait))
		}
		if !s.pause(timer, wait > 0, idle) {
			return nil
		}
	}
}

// pause waits for the timer, or for work when idle. It tells whether to go on.
func (s *Server) pause(timer *time.Timer, timed, idle bool) bool {
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
		work = s.work
	}
	select {
	case <-s.stop:
		return false
	case <-timer.C:
	case <-work:
	}
	return true
}

// stepBatch runs one step and returns the time until the next.
func (s *Server) stepBatch() (wait time.Duration, idle bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	s.settle(now)
	s.sweep(now)
	s.admit(now)
	begins := s.emit(now)
	if len(s.running) == 0 {
		return 0, true
	}
	if begins.After(now) {
		return begins.Sub(now), false
	}
	slow := time.Duration(s.faults.Slow) * time.Millisecond
	return s.step + s.step*time.Duration(len(s.running)-1)/slope + slow, false
}

// emit gives a token to each running request whose prompt has been read. It
// returns when the first prompt will have been read if no request got a token.
func (s *Server) emit(now time.Time) (begins time.Time) {
	stepped := false
	for _, r := range s.running {
		if r.begins.After(now) {
			if begins.IsZero() || r.begins.Before(begins) {
				begins = r.begins
			}
			continue
		}
		stepped = true
		s.counts.Tokens++
		r.step(now)
	}
	s.running = slices.DeleteFunc(s.running, s.release)
	if stepped {
		return time.Time{}
	}
	return begins
}

// release gives back what an ended run holds.
func (s *Server) release(r *run) bool {
	if r.ended && r.resident != nil {
		r.resident.runs--
		r.resident = nil
	}
	return r.ended
}

// admit starts waiting runs, the most urgent first, while there is room.
func (s *Server) admit(now time.Time) {
	slices.SortStableFunc(s.waiting, func(a, b *run) int {
		return cmp.Or(cmp.Compare(a.request.Priority, b.request.Priority), a.arrived.Compare(b.arrived))
	})
	for len(s.waiting) > 0 && len(s.running) < s.batch {
		r := s.waiting[0]
		if len(s.running) > 0 && s.kvTokens()+r.kv() > int(s.state.KV/tokenBytes) {
			return
		}
		s.waiting = s.waiting[1:]
		s.begin(r, now)
	}
}

func (s *Server) begin(r *run, now time.Time) {
	r.begun = true
	s.counts.Requests[r.attempt]++
	if r.key != "" {
		s.counts.Keys[r.key]++
	}
	if s.faults.CrashOn != "" && strings.Contains(r.text, s.faults.CrashOn) {
		s.crash(r.attempt)
		return
	}
	cached := s.cache.use(r.request.Model, r.text, now)
	units := (max(r.prompt-cached, 1) + prefillUnit - 1) / prefillUnit
	r.begins = now.Add(s.prefill * time.Duration(units))
	s.running = append(s.running, r)
}

func (s *Server) kvTokens() int {
	tokens := 0
	for _, r := range s.running {
		tokens += r.kv()
	}
	return tokens
}

// sweep forgets ended runs, and ends those that nobody has read for a while.
func (s *Server) sweep(now time.Time) {
	if now.Sub(s.swept) < sweepEvery {
		return
	}
	s.swept = now
	for attempt, r := range s.runs {
		if r.readers > 0 || now.Sub(r.left) < s.keep {
			continue
		}
		if !r.ended {
			s.cancel(r, now)
		}
		delete(s.runs, attempt)
	}
}

// cancel ends a run and tells whether it had begun.
func (s *Server) cancel(r *run, now time.Time) bool {
	if r.ended {
		return r.begun
	}
	r.end("cancelled", now)
	s.counts.Cancelled++
	s.waiting = slices.DeleteFunc(s.waiting, s.release)
	s.running = slices.DeleteFunc(s.running, s.release)
	return r.begun
}

func (s *Server) submit(r *run) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs[r.attempt] = r
	s.waiting = append(s.waiting, r)
	select {
	case s.work <- struct{}{}:
	default:
	}
}
