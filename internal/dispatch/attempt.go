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
	maxBytes int // bytes kept for readers that fall behind
	clock    func() time.Time

	mu           sync.Mutex
	changed      *sync.Cond
	head         *peerpb.Head
	chunks       []*peerpb.Data
	base         uint64 // offset of the first piece kept
	size         int    // bytes kept
	end          *peerpb.End
	readers      map[*reader]struct{}
	unreadSince  time.Time // since when nobody reads, zero while somebody does
	lastReceived time.Time // when the endpoint last sent something
	blockedSince time.Time // since when a slow reader holds back the endpoint
	aborted      bool
}

type reader struct {
	next uint64
}

func newAttempt(id, endpoint string, maxBytes int, clock func() time.Time) *Attempt {
	a := &Attempt{id: id, endpoint: endpoint, maxBytes: maxBytes, clock: clock, readers: make(map[*reader]struct{})}
	a.changed = sync.NewCond(&a.mu)
	a.lastReceived = clock()
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

// UnreadFor returns how long nobody has read the attempt.
func (a *Attempt) UnreadFor(now time.Time) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.unreadSince.IsZero() {
		return 0
	}
	return now.Sub(a.unreadSince)
}

// Size returns the bytes kept.
func (a *Attempt) Size() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.size
}

// Chunks returns the pieces kept, and whether they are the answer from its beginning.
func (a *Attempt) Chunks() ([][]byte, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	chunks := make([][]byte, 0, len(a.chunks))
	for _, chunk := range a.chunks {
		chunks = append(chunks, chunk.Data)
	}
	return chunks, a.base == 0
}

func (a *Attempt) setHead(head *peerpb.Head) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.head = head
	a.changed.Broadcast()
}

// nextOffset returns the offset of the piece that follows the last one held.
func (a *Attempt) nextOffset() uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.base + uint64(len(a.chunks))
}

// appendChunk appends one piece. It waits while the slowest reader lags by more than
// the limit, and returns false when that lasts too long or the attempt was closed.
func (a *Attempt) appendChunk(data []byte) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.waitForSpace(len(data)) {
		return false
	}
	chunk := &peerpb.Data{Attempt: a.id, Offset: a.base + uint64(len(a.chunks)), Data: data}
	a.chunks = append(a.chunks, chunk)
	a.size += len(data)
	a.changed.Broadcast()
	return true
}

func (a *Attempt) waitForSpace(bytes int) bool {
	for a.trim(); a.size > 0 && a.size+bytes > a.maxBytes && !a.aborted; a.trim() {
		a.markBlocked()
		a.changed.Wait()
	}
	a.blockedSince = time.Time{}
	a.lastReceived = a.clock()
	return !a.aborted
}

func (a *Attempt) markBlocked() {
	if a.blockedSince.IsZero() {
		a.blockedSince = a.clock()
	}
}

// BlockedFor returns for how long a slow reader has held back the endpoint.
func (a *Attempt) BlockedFor(now time.Time) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.blockedSince.IsZero() {
		return 0
	}
	return now.Sub(a.blockedSince)
}

// StalledFor returns for how long the endpoint has sent nothing, zero while a reader holds it back.
func (a *Attempt) StalledFor(now time.Time) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.blockedSince.IsZero() {
		return 0
	}
	return now.Sub(a.lastReceived)
}

// trim drops the pieces that every reader has passed.
func (a *Attempt) trim() {
	if len(a.readers) == 0 {
		return
	}
	slowest := a.base + uint64(len(a.chunks))
	for r := range a.readers {
		slowest = min(slowest, r.next)
	}
	drop := 0
	for a.base < slowest && a.size > a.maxBytes/2 {
		a.size -= len(a.chunks[drop].Data)
		drop++
		a.base++
	}
	a.chunks = a.chunks[drop:]
}

func (a *Attempt) finish(end *peerpb.End) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.end != nil {
		return
	}
	a.end = end
	if len(a.readers) == 0 {
		a.unreadSince = a.clock()
	}
	a.changed.Broadcast()
}

// abort wakes everything that waits on the attempt; the pump then ends it.
func (a *Attempt) abort() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.aborted = true
	a.changed.Broadcast()
}

// Copy passes the head and every piece from an offset on to the sink, until
// the attempt ends, the sink fails or the context is done.
func (a *Attempt) Copy(ctx context.Context, from uint64, sink peer.Sink) *peerpb.End {
	r, ok := a.attach(from)
	if !ok {
		return Fail(CodeGone, "resume", "the asked part of the answer is no longer kept")
	}
	defer a.detach(r)
	stop := context.AfterFunc(ctx, a.wake)
	defer stop()
	if head := a.awaitHead(ctx); head != nil {
		if err := sink.Head(head); err != nil {
			return Fail(CodeCancelled, "pass on head", err.Error())
		}
	}
	for {
		chunk, end := a.awaitChunk(ctx, r)
		if end != nil {
			return end
		}
		if err := sink.Data(chunk); err != nil {
			return Fail(CodeCancelled, "pass on answer", err.Error())
		}
	}
}

func (a *Attempt) wake() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.changed.Broadcast()
}

func (a *Attempt) attach(from uint64) (*reader, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if from < a.base || (a.end != nil && from > a.base+uint64(len(a.chunks))) {
		return nil, false
	}
	r := &reader{next: from}
	a.readers[r] = struct{}{}
	a.unreadSince = time.Time{}
	return r, true
}

func (a *Attempt) detach(r *reader) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.readers, r)
	if len(a.readers) == 0 {
		a.unreadSince = a.clock()
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

func (a *Attempt) awaitChunk(ctx context.Context, r *reader) (*peerpb.Data, *peerpb.End) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for {
		if ctx.Err() != nil {
			return nil, Fail(CodeCancelled, "pass on answer", ctx.Err().Error())
		}
		if r.next < a.base+uint64(len(a.chunks)) {
			chunk := a.chunks[r.next-a.base]
			r.next++
			a.changed.Broadcast()
			return chunk, nil
		}
		if a.end != nil {
			return nil, a.end
		}
		a.changed.Wait()
	}
}
