package dispatch

import (
	"context"
	"sync"
	"time"

	"github.com/chiveramp/chiveramp/internal/peer"
	"github.com/chiveramp/chiveramp/internal/peer/peerpb"
)

// Attempt is one run of a request on one endpoint. It buffers the answer received so
// far; readers can attach, detach and attach again at any offset still in the buffer.
type Attempt struct {
	id       string
	endpoint string
	maxBytes int // size of the buffer for readers that fall behind
	clock    func() time.Time

	mu           sync.Mutex
	changed      *sync.Cond
	head         *peerpb.Head
	pieces       []*peerpb.Data
	base         uint64 // offset of the first buffered piece
	size         int    // bytes buffered
	end          *peerpb.End
	readers      map[*reader]struct{}
	unreadSince  time.Time // since when there is no reader, zero while there is one
	lastReceived time.Time // when the endpoint last sent something
	blockedSince time.Time // since when a slow reader blocks reading from the endpoint, else zero
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

// Ended returns how the attempt ended, or nil while it runs.
func (a *Attempt) Ended() *peerpb.End {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.end
}

// UnreadFor returns how long an attempt has had no reader. It is zero while there is a
// reader, and until the first one detaches or the attempt ends.
func (a *Attempt) UnreadFor(now time.Time) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.unreadSince.IsZero() {
		return 0
	}
	return now.Sub(a.unreadSince)
}

// Size returns the number of bytes buffered.
func (a *Attempt) Size() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.size
}

// Pieces returns the buffered pieces, and whether they start at the beginning of the answer.
func (a *Attempt) Pieces() ([][]byte, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	pieces := make([][]byte, 0, len(a.pieces))
	for _, piece := range a.pieces {
		pieces = append(pieces, piece.Data)
	}
	return pieces, a.base == 0
}

func (a *Attempt) setHead(head *peerpb.Head) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.head = head
	a.changed.Broadcast()
}

// begun reports whether a part of the answer was received.
func (a *Attempt) begun() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.head != nil
}

// nextOffset returns the offset that the next piece gets.
func (a *Attempt) nextOffset() uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.base + uint64(len(a.pieces))
}

// appendPiece appends one piece of the answer. It blocks while the buffer has no room, because
// the slowest reader still needs what is in it. It returns false once the attempt is aborted,
// which the pool does when a reader blocks it for too long.
func (a *Attempt) appendPiece(data []byte) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.waitForSpace(len(data)) {
		return false
	}
	piece := &peerpb.Data{Attempt: a.id, Offset: a.base + uint64(len(a.pieces)), Data: data}
	a.pieces = append(a.pieces, piece)
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

// BlockedFor returns how long a slow reader has blocked reading from the endpoint.
func (a *Attempt) BlockedFor(now time.Time) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.blockedSince.IsZero() {
		return 0
	}
	return now.Sub(a.blockedSince)
}

// StalledFor returns how long the endpoint has sent nothing. It is zero while a slow
// reader blocks reading from it.
func (a *Attempt) StalledFor(now time.Time) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.blockedSince.IsZero() {
		return 0
	}
	return now.Sub(a.lastReceived)
}

// trim drops pieces that every reader has read, down to half the buffer's size.
func (a *Attempt) trim() {
	if len(a.readers) == 0 {
		return
	}
	slowest := a.base + uint64(len(a.pieces))
	for r := range a.readers {
		slowest = min(slowest, r.next)
	}
	drop := 0
	for a.base < slowest && a.size > a.maxBytes/2 {
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
		a.unreadSince = a.clock()
	}
	a.changed.Broadcast()
}

// abort unblocks everything that waits on the attempt; the goroutine that reads from
// the endpoint then ends it.
func (a *Attempt) abort() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.aborted = true
	a.changed.Broadcast()
}

// Copy writes the head and every piece from an offset on to the sink, until the
// attempt ends, the sink fails or the context is done.
func (a *Attempt) Copy(ctx context.Context, from uint64, sink peer.Sink) *peerpb.End {
	r, ok := a.attach(from)
	if !ok {
		return Fail(CodeGone, "resume", "the requested part of the answer is no longer buffered")
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
		piece, end := a.awaitPiece(ctx, r)
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

func (a *Attempt) attach(from uint64) (*reader, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if from < a.base || (a.end != nil && from > a.base+uint64(len(a.pieces))) {
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

func (a *Attempt) awaitPiece(ctx context.Context, r *reader) (*peerpb.Data, *peerpb.End) {
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
