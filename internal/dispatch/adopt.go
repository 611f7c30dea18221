package dispatch

import (
	"context"
	"errors"
	"io"
	"time"

	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/endpoint"
	"github.com/chiveramp/chiveramp/internal/peer"
	"github.com/chiveramp/chiveramp/internal/peer/peerpb"
)

// deathRetention is how long an endpoint's death is told only once.
const deathRetention = 10 * time.Minute

// adopt takes over the answer of an attempt whose dispatcher is gone. The
// endpoint still has it, since engines keep a stream whose connection broke.
func (p *Pool) adopt(ctx context.Context, resume *peerpb.Resume) (*run, *peerpb.End) {
	entry, ok := p.endpoints.Get(fleet.Endpoint(resume.Endpoint))
	if !ok {
		return nil, Fail(CodeLost, "resume", "endpoint "+resume.Endpoint+" is not listed")
	}
	running, cancel := context.WithCancelCause(context.WithoutCancel(ctx))
	stream, err := p.engine.Resume(running, entry.Address, resume.Attempt, resume.Offset)
	if err != nil {
		cancel(err)
		return nil, p.resumeFailure(err)
	}
	r := &run{
		Attempt: newAttempt(resume.Attempt, resume.Endpoint, p.limits.ReplayBytes, p.timers.Now),
		pool:    p,
		request: peer.Request{Submit: &peerpb.Submit{
			Request: resume.Request, Attempt: resume.Attempt, Endpoint: resume.Endpoint, Stream: true,
		}},
		entry:  entry,
		cancel: cancel,
	}
	r.base = resume.Offset
	r.setHead(r.newHead(stream.Status(), contentType(stream.Header())))
	p.register(r)
	p.group.Go(func() error {
		r.follow(running, stream)
		return nil
	})
	return r, nil
}

func (p *Pool) resumeFailure(err error) *peerpb.End {
	if errors.Is(err, endpoint.ErrGone) {
		return Fail(CodeGone, "resume", err.Error())
	}
	return Fail(CodeLost, "resume", err.Error())
}

func (p *Pool) register(r *run) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.attempts[r.id] = r
	p.live[r.id] = r
	p.startSweeps()
}

// follow reads an adopted answer to its end.
func (r *run) follow(ctx context.Context, stream *endpoint.Stream) {
	source := &modelAnswer{ctx: ctx, run: r, stream: stream}
	defer source.close()
	defer r.cancel(nil)
	for offset := r.nextOffset(); ; offset++ {
		data, err := source.next(offset)
		switch {
		case errors.Is(err, io.EOF):
			r.finish(Complete(offset))
			return
		case err != nil:
			r.finish(r.answerFailure(ctx, err))
			return
		case !r.appendChunk(data):
			r.finish(Fail(CodeSlow, "answer", "the caller did not read the answer in time"))
			return
		}
	}
}

// prune cancels attempts that nobody waits for and forgets old ended ones.
func (p *Pool) prune(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for incarnation, at := range p.reportedDeaths {
		if now.Sub(at) > deathRetention {
			delete(p.reportedDeaths, incarnation)
		}
	}
	for id, r := range p.live {
		unread := r.UnreadFor(now)
		switch {
		case r.Ended() == nil:
			p.checkTimeouts(now, r, unread)
		case unread > 0:
			delete(p.live, id)
			p.ended = append(p.ended, endedAttempt{run: r, size: r.Size()})
			p.endedBytes += r.Size()
		case r.BlockedFor(now) > p.limits.ReaderStall:
			r.abort()
		}
	}
	p.evictEnded(now)
}

// endedAttempt is an attempt that is kept for callers that come back.
type endedAttempt struct {
	run  *run
	size int // bytes
}

// checkTimeouts ends an attempt that nobody waits for or that is stuck.
func (p *Pool) checkTimeouts(now time.Time, r *run, unread time.Duration) {
	if r.BlockedFor(now) > p.limits.ReaderStall {
		r.abort()
	}
	if unread > p.unreadLimit(r) {
		r.cancel(errCallerGone)
	}
	if r.StalledFor(now) > p.limits.EndpointStall {
		r.cancel(errStalled)
	}
}

// evictEnded drops the oldest ended attempts until what is kept is within the
// limits. The cost is that of what is dropped, not of what is kept.
func (p *Pool) evictEnded(now time.Time) {
	for len(p.ended) > 0 {
		oldest := p.ended[0]
		unread := oldest.run.UnreadFor(now)
		if 0 < unread && unread <= p.limits.ResumeWindow && p.endedBytes <= p.limits.EndedBytes {
			return
		}
		p.ended[0] = endedAttempt{}
		p.ended = p.ended[1:]
		p.endedBytes -= oldest.size
		if unread == 0 { // read again: its turn comes anew
			p.live[oldest.run.id] = oldest.run
			continue
		}
		delete(p.attempts, oldest.run.id)
	}
}

// unreadLimit is how long an attempt without a reader goes on: long enough for a
// caller to come back for a stream or a claimed answer, else not at all.
func (p *Pool) unreadLimit(r *run) time.Duration {
	if r.request.Stream || r.claimed {
		return p.limits.ResumeWindow
	}
	return 0
}
