package entry

import (
	"errors"
	"time"

	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/core/stream"
	"github.com/chiveramp/chiveramp/internal/dispatch"
	"github.com/chiveramp/chiveramp/internal/peer"
	"github.com/chiveramp/chiveramp/internal/peer/peerpb"
	"github.com/chiveramp/chiveramp/internal/switches"
)

// errGap: pieces of an answer are missing.
var errGap = errors.New("pieces of the answer are missing")

// attemptLimit bounds the attempts of one answer, each hop to another data
// centre counted; the retry budget bounds them further.
const attemptLimit = 8

// Restarter is a sink that can take an answer from its beginning again, since
// nothing of it has reached the caller yet.
type Restarter interface {
	// Restart drops what was taken and reports whether that was possible.
	Restart() bool
}

// track passes the pieces of the present attempt on, each once and in order.
type track struct {
	sink      peer.Sink
	clock     func() time.Time
	assembly  *stream.Assembly
	splice    *stream.Splice // set while an answer is continued on another endpoint
	answering bool           // the head of the present attempt has come
	passed    bool           // a head has been passed on
	origin    []byte         // first piece of the answer
	failed    error          // the sink's error

	count int
	first time.Time
	last  time.Time
}

func newTrack(sink peer.Sink, clock func() time.Time) *track {
	return &track{sink: sink, clock: clock, assembly: stream.New(stream.WithMaxAttempts(attemptLimit))}
}

// begin starts a new attempt. Its id may not be known before its head comes.
func (t *track) begin(attempt string, endpoint fleet.Endpoint) {
	t.assembly.Begin(attempt, endpoint)
	t.answering = false
}

// Head implements peer.Sink. Only the first head of an answer reaches the caller,
// and that of an attempt that continues it, since its pieces are resumed elsewhere.
func (t *track) Head(h *peerpb.Head) error {
	if t.assembly.Attempt() == "" {
		t.assembly.Begin(h.Attempt, fleet.Endpoint(h.Endpoint))
	}
	if h.Attempt != t.assembly.Attempt() {
		return nil
	}
	t.answering = true
	if t.passed && t.splice == nil {
		return nil
	}
	t.passed = true
	t.failed = t.sink.Head(h)
	return t.failed
}

// Data implements peer.Sink. Pieces of another attempt, or that came before, are dropped.
func (t *track) Data(d *peerpb.Data) error {
	pieces, verdict := t.assembly.Add(t.clock(), stream.Piece{Attempt: d.Attempt, Offset: d.Offset, Data: d.Data})
	if verdict == stream.ResultTooFarAhead {
		return errGap
	}
	for _, piece := range pieces {
		if err := t.pass(piece); err != nil {
			return err
		}
	}
	return nil
}

func (t *track) pass(piece stream.Piece) error {
	t.mark(piece.Data)
	data := piece.Data
	if t.splice != nil {
		spliced, err := t.splice.Apply(data)
		if err != nil {
			return err
		}
		data = spliced
	}
	t.failed = t.sink.Data(&peerpb.Data{Attempt: piece.Attempt, Offset: piece.Offset, Data: data})
	return t.failed
}

func (t *track) mark(data []byte) {
	t.last = t.clock()
	if t.count == 0 {
		t.first, t.origin = t.last, data
	}
	t.count++
}

// next prepares a further attempt after a loss: from the beginning if nothing
// has reached the caller, else from the text sent so far. It reports false when
// neither can be done.
func (t *track) next(p *plan, end *peerpb.End) bool {
	if r, ok := t.sink.(Restarter); ok && t.passed {
		t.passed = !r.Restart()
		t.assembly = stream.New(stream.WithMaxAttempts(attemptLimit))
		return !t.passed
	}
	decision := t.assembly.Cut(t.clock(), t.assembly.Attempt(), loss(end.Code))
	switch decision.Step {
	case stream.StepRestart:
		return true
	case stream.StepContinue:
		return !switches.Off(switches.Continue) && t.proceed(p, decision)
	default:
		return false
	}
}

// whole tells whether all of a streamed answer was passed on and only its end marker was
// lost with the endpoint.
func (t *track) whole(p *plan, end *peerpb.End) bool {
	lost := end.Code == dispatch.CodeLost || end.Code == dispatch.CodeGone
	return lost && p.request.Stream && p.request.Service == "" && t.assembly.Finished(t.clock(), p.original)
}

func loss(code string) stream.Loss {
	switch code {
	case dispatch.CodeLost:
		return stream.LossEndpoint
	case dispatch.CodeGone:
		return stream.LossAttempt
	default:
		return stream.LossUnsent
	}
}

func (t *track) proceed(p *plan, d stream.Decision) bool {
	body, err := stream.ContinueBody(p.original, d.Text, d.Tokens)
	if err != nil {
		return false
	}
	splice, err := stream.NewSplice(t.origin, d.Tokens)
	if err != nil {
		return false
	}
	p.kept, t.splice = body, &splice
	return true
}
