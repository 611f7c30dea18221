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

// crashRetention is how long a reported crash of an endpoint is recorded, so that it is
// reported only once.
const crashRetention = 10 * time.Minute

// adopt takes over the answer of an attempt whose dispatcher is gone. The endpoint
// still has the answer, since engines keep a stream after its connection breaks.
func (p *Pool) adopt(ctx context.Context, resume *peerpb.Resume) (*run, *peerpb.End) {
	entry, ok := p.endpoints.Get(fleet.Endpoint(resume.Endpoint))
	if !ok {
		return nil, Fail(CodeLost, "resume", "endpoint "+resume.Endpoint+" is not in the directory")
	}
	runCtx, cancel := context.WithCancelCause(context.WithoutCancel(ctx))
	stream, err := p.engine.Resume(runCtx, entry.Address, resume.Attempt, resume.Offset)
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
		r.follow(runCtx, stream)
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

// follow reads an adopted answer from the endpoint until it ends.
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
		case !r.appendPiece(data):
			r.finish(Fail(CodeSlow, "answer", "the caller did not read the answer in time"))
			return
		}
	}
}

// prune cancels running attempts that have lost their readers or have stalled, and
// evicts old ended attempts.
func (p *Pool) prune(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for incarnation, at := range p.reportedCrashes {
		if now.Sub(at) > crashRetention {
			delete(p.reportedCrashes, incarnation)
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

// endedAttempt is a finished attempt, retained for callers that reconnect.
type endedAttempt struct {
	run  *run
	size int // bytes
}

// checkTimeouts ends an attempt without readers, or one that a reader or the endpoint
// has stalled for too long.
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

// evictEnded evicts the oldest ended attempts until the retained ones are within the
// limits. Its cost grows with the number evicted, not with the number retained.
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
		if unread == 0 { // a reader is attached again: back to the live ones
			p.live[oldest.run.id] = oldest.run
			continue
		}
		delete(p.attempts, oldest.run.id)
	}
}

// unreadLimit is how long an attempt runs on without a reader: long enough for a
// caller to reconnect to a stream or a claimed answer, otherwise not at all.
func (p *Pool) unreadLimit(r *run) time.Duration {
	if r.request.Stream || r.claimed {
		return p.limits.ResumeWindow
	}
	return 0
}
