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

// deathMemory is how long an endpoint's death is told only once.
const deathMemory = 10 * time.Minute

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
		return nil, p.unadopted(err)
	}
	r := &run{
		Attempt: newAttempt(resume.Attempt, resume.Endpoint, p.limits.Replay, p.timers.Now),
		pool:    p,
		request: peer.Request{Submit: &peerpb.Submit{
			Request: resume.Request, Attempt: resume.Attempt, Endpoint: resume.Endpoint, Stream: true,
		}},
		entry:  entry,
		cancel: cancel,
	}
	r.base = resume.Offset
	r.start(r.newHead(stream.Status(), contentType(stream.Header())))
	p.keep(r)
	p.group.Go(func() error {
		r.follow(running, stream)
		return nil
	})
	return r, nil
}

func (p *Pool) unadopted(err error) *peerpb.End {
	if errors.Is(err, endpoint.ErrGone) {
		return Fail(CodeGone, "resume", err.Error())
	}
	return Fail(CodeLost, "resume", err.Error())
}

func (p *Pool) keep(r *run) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.attempts[r.id] = r
	p.live[r.id] = r
	p.work()
}

// follow reads an adopted answer to its end.
func (r *run) follow(ctx context.Context, stream *endpoint.Stream) {
	source := &modelAnswer{ctx: ctx, run: r, stream: stream}
	defer source.close()
	defer r.cancel(nil)
	for offset := r.next(); ; offset++ {
		data, err := source.next(offset)
		switch {
		case errors.Is(err, io.EOF):
			r.finish(Whole(offset))
			return
		case err != nil:
			r.finish(r.broken(ctx, err))
			return
		case !r.add(data):
			r.finish(Fail(CodeSlow, "answer", "the caller did not read the answer in time"))
			return
		}
	}
}

// prune cancels attempts that nobody waits for and forgets old ended ones.
func (p *Pool) prune(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for incarnation, at := range p.deaths {
		if now.Sub(at) > deathMemory {
			delete(p.deaths, incarnation)
		}
	}
	for id, r := range p.live {
		vacant := r.Vacant(now)
		switch {
		case r.Ended() == nil:
			p.watch(now, r, vacant)
		case vacant > 0:
			delete(p.live, id)
			p.ended = append(p.ended, ended{run: r, size: r.Size()})
			p.kept += r.Size()
		case r.Stalled(now) > p.limits.Idle:
			r.abort()
		}
	}
	p.forget(now)
}

// ended is an attempt that is kept for callers that come back.
type ended struct {
	run  *run
	size int // bytes
}

// watch ends an attempt that nobody waits for or that is stuck.
func (p *Pool) watch(now time.Time, r *run, vacant time.Duration) {
	if r.Stalled(now) > p.limits.Idle {
		r.abort()
	}
	if vacant > p.patience(r) {
		r.cancel(errVacant)
	}
	if r.Silent(now) > p.limits.Silence {
		r.cancel(errSilent)
	}
}

// forget drops the oldest ended attempts until what is kept is within the
// limits. The cost is that of what is dropped, not of what is kept.
func (p *Pool) forget(now time.Time) {
	for len(p.ended) > 0 {
		oldest := p.ended[0]
		vacant := oldest.run.Vacant(now)
		if 0 < vacant && vacant <= p.limits.Resume && p.kept <= p.limits.Kept {
			return
		}
		p.ended[0] = ended{}
		p.ended = p.ended[1:]
		p.kept -= oldest.size
		if vacant == 0 { // read again: its turn comes anew
			p.live[oldest.run.id] = oldest.run
			continue
		}
		delete(p.attempts, oldest.run.id)
	}
}

// patience is how long an attempt without a reader goes on: long enough for a
// caller to come back for a stream or a claimed answer, else not at all.
func (p *Pool) patience(r *run) time.Duration {
	if r.request.Stream || r.claimed {
		return p.limits.Resume
	}
	return 0
}
