package dispatch

import (
	"context"
	"sync"
	"time"

	"github.com/chiveramp/chiveramp/internal/peer"
	"github.com/chiveramp/chiveramp/internal/peer/peerpb"
)

// Attempt is one run of a request on one endpoint. It keeps the answer so far,
// for readers that come, go and come back at any offset still kept.
type Attempt struct {
	id       string
	endpoint string
	limit    int // bytes kept for readers that fall behind
	clock    func() time.Time

	mu      sync.Mutex
	changed *sync.Cond
	head    *peerpb.Head
	pieces  []*peerpb.Data
	base    uint64 // offset of the first piece kept
	size    int    // bytes kept
	end     *peerpb.End
	readers map[*reader]struct{}
	vacant  time.Time // since when nobody reads, zero while somebody does
	heard   time.Time // when the endpoint last sent something
	stalled time.Time // since when a slow reader holds back the endpoint
	closed  bool
}

type reader struct {
	next uint64
}

func newAttempt(id, endpoint string, limit int, clock func() time.Time) *Attempt {
	a := &Attempt{id: id, endpoint: endpoint, limit: limit, clock: clock, readers: make(map[*reader]struct{})}
	a.changed = sync.NewCond(&a.mu)
	a.heard = clock()
	return a
}

// ID returns the attempt's id.
func (a *Attempt) ID() string { return a.id }

// Ended returns how the attempt ended, nil while it runs.
func (a *Attempt) Ended() *peerpb.End {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.end
}

// Vacant returns how long nobody has read the attempt.
func (a *Attempt) Vacant(now time.Time) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.vacant.IsZero() {
		return 0
	}
	return now.Sub(a.vacant)
}

// Size returns the bytes kept.
func (a *Attempt) Size() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.size
}

// Pieces returns the pieces kept, and whether they are the answer from its beginning.
func (a *Attempt) Pieces() ([][]byte, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	pieces := make([][]byte, 0, len(a.pieces))
	for _, p := range a.pieces {
		pieces = append(pieces, p.Data)
	}
	return pieces, a.base == 0
}

func (a *Attempt) start(head *peerpb.Head) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.head = head
	a.changed.Broadcast()
}

// next returns the offset of the piece that follows the last one held.
func (a *Attempt) next() uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.base + uint64(len(a.pieces))
}

// add appends one piece. It waits while the slowest reader lags by more than
// the limit, and returns false when that lasts too long or the attempt was closed.
func (a *Attempt) add(data []byte) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.room(len(data)) {
		return false
	}
	piece := &peerpb.Data{Attempt: a.id, Offset: a.base + uint64(len(a.pieces)), Data: data}
	a.pieces = append(a.pieces, piece)
	a.size += len(data)
	a.changed.Broadcast()
	return true
}

func (a *Attempt) room(bytes int) bool {
	for a.trim(); a.size > 0 && a.size+bytes > a.limit && !a.closed; a.trim() {
		a.stall()
		a.changed.Wait()
	}
	a.stalled = time.Time{}
	a.heard = a.clock()
	return !a.closed
}

func (a *Attempt) stall() {
	if a.stalled.IsZero() {
		a.stalled = a.clock()
	}
}

// Stalled returns for how long a slow reader has held back the endpoint.
func (a *Attempt) Stalled(now time.Time) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.stalled.IsZero() {
		return 0
	}
	return now.Sub(a.stalled)
}

// Silent returns for how long the endpoint has sent nothing, zero while a reader holds it back.
func (a *Attempt) Silent(now time.Time) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.stalled.IsZero() {
		return 0
	}
	return now.Sub(a.heard)
}

// trim drops the pieces that every reader has passed.
func (a *Attempt) trim() {
	if len(a.readers) == 0 {
		return
	}
	slowest := a.base + uint64(len(a.pieces))
	for r := range a.readers {
		slowest = min(slowest, r.next)
	}
	drop := 0
	for a.base < slowest && a.size > a.limit/2 {
		a.size -= len(a.pieces[drop].Data)
		drop++
		a.base++
	}
	a.pieces = a.pieces[drop:]
}

func (a *Attempt) finish(end *peerpb.End) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.end != nil {
		return
	}
	a.end = end
	if len(a.readers) == 0 {
		a.vacant = a.clock()
	}
	a.changed.Broadcast()
}

// abort wakes everything that waits on the attempt; the pump then ends it.
func (a *Attempt) abort() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.closed = true
	a.changed.Broadcast()
}

// Copy passes the head and every piece from an offset on to the sink, until
// the attempt ends, the sink fails or the context is done.
func (a *Attempt) Copy(ctx context.Context, from uint64, sink peer.Sink) *peerpb.End {
	r, ok := a.join(from)
	if !ok {
		return Fail(CodeGone, "resume", "the asked part of the answer is no longer kept")
	}
	defer a.part(r)
	stop := context.AfterFunc(ctx, a.wake)
	defer stop()
	if head := a.awaitHead(ctx); head != nil {
		if err := sink.Head(head); err != nil {
			return Fail(CodeCancelled, "pass on head", err.Error())
		}
	}
	for {
		piece, end := a.await(ctx, r)
		if end != nil {
			return end
		}
		if err := sink.Data(piece); err != nil {
			return Fail(CodeCancelled, "pass on answer", err.Error())
		}
	}
}

func (a *Attempt) wake() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.changed.Broadcast()
}

func (a *Attempt) join(from uint64) (*reader, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if from < a.base || (a.end != nil && from > a.base+uint64(len(a.pieces))) {
		return nil, false
	}
	r := &reader{next: from}
	a.readers[r] = struct{}{}
	a.vacant = time.Time{}
	return r, true
}

func (a *Attempt) part(r *reader) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.readers, r)
	if len(a.readers) == 0 {
		a.vacant = a.clock()
	}
	a.changed.Broadcast()
}

func (a *Attempt) awaitHead(ctx context.Context) *peerpb.Head {
	a.mu.Lock()
	defer a.mu.Unlock()
	for a.head == nil && a.end == nil && ctx.Err() == nil {
		a.changed.Wait()
	}
	return a.head
}

func (a *Attempt) await(ctx context.Context, r *reader) (*peerpb.Data, *peerpb.End) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for {
		if ctx.Err() != nil {
			return nil, Fail(CodeCancelled, "pass on answer", ctx.Err().Error())
		}
		if r.next < a.base+uint64(len(a.pieces)) {
			piece := a.pieces[r.next-a.base]
			r.next++
			a.changed.Broadcast()
			return piece, nil
		}
		if a.end != nil {
			return nil, a.end
		}
		a.changed.Wait()
	}
}
