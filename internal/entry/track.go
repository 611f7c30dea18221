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

// errMissingPieces: pieces of an answer are missing.
var errMissingPieces = errors.New("pieces of the answer are missing")

// attemptLimit bounds the attempts of one answer, each hop to another data
// centre counted; the retry budget bounds them further.
const attemptLimit = 8

// Restarter is a sink that can take an answer from its beginning again, since
// nothing of it has reached the caller yet.
type Restarter interface {
	// Restart drops what was taken and reports whether that was possible.
	Restart() bool
}

// answerTracker passes the pieces of the present attempt on, each once and in order.
type answerTracker struct {
	sink          peer.Sink
	clock         func() time.Time
	assembly      *stream.Assembly
	splice        *stream.Splice // set while an answer is continued on another endpoint
	headReceived  bool           // the head of the present attempt has come
	headForwarded bool           // a head has been passed on
	firstPiece    []byte         // first piece of the answer
	sinkErr       error          // the sink's error

	pieces       int
	firstPieceAt time.Time
	lastPieceAt  time.Time
}

func newAnswerTracker(sink peer.Sink, clock func() time.Time) *answerTracker {
	return &answerTracker{sink: sink, clock: clock, assembly: stream.New(stream.WithMaxAttempts(attemptLimit))}
}

// begin starts a new attempt. Its id may not be known before its head comes.
func (t *answerTracker) begin(attempt string, endpoint fleet.Endpoint) {
	t.assembly.Begin(attempt, endpoint)
	t.headReceived = false
}

// Head implements peer.Sink. Only the first head of an answer reaches the caller,
// and that of an attempt that continues it, since its pieces are resumed elsewhere.
func (t *answerTracker) Head(h *peerpb.Head) error {
	if t.assembly.Attempt() == "" {
		t.assembly.Begin(h.Attempt, fleet.Endpoint(h.Endpoint))
	}
	if h.Attempt != t.assembly.Attempt() {
		return nil
	}
	t.headReceived = true
	if t.headForwarded && t.splice == nil {
		return nil
	}
	t.headForwarded = true
	t.sinkErr = t.sink.Head(h)
	return t.sinkErr
}

// Data implements peer.Sink. Pieces of another attempt, or that came before, are dropped.
func (t *answerTracker) Data(d *peerpb.Data) error {
	pieces, result := t.assembly.Add(t.clock(), stream.Piece{Attempt: d.Attempt, Offset: d.Offset, Data: d.Data})
	if result == stream.ResultTooFarAhead {
		return errMissingPieces
	}
	for _, piece := range pieces {
		if err := t.forward(piece); err != nil {
			return err
		}
	}
	return nil
}

func (t *answerTracker) forward(piece stream.Piece) error {
	t.recordPiece(piece.Data)
	data := piece.Data
	if t.splice != nil {
		spliced, err := t.splice.Apply(data)
		if err != nil {
			return err
		}
		data = spliced
	}
	t.sinkErr = t.sink.Data(&peerpb.Data{Attempt: piece.Attempt, Offset: piece.Offset, Data: data})
	return t.sinkErr
}

func (t *answerTracker) recordPiece(data []byte) {
	t.lastPieceAt = t.clock()
	if t.pieces == 0 {
		t.firstPieceAt, t.firstPiece = t.lastPieceAt, data
	}
	t.pieces++
}

// prepareRetry prepares a further attempt after a loss: from the beginning if nothing
// has reached the caller, else from the text sent so far. It reports false when
// neither can be done.
func (t *answerTracker) prepareRetry(p *plan, end *peerpb.End) bool {
	if r, ok := t.sink.(Restarter); ok && t.headForwarded {
		t.headForwarded = !r.Restart()
		t.assembly = stream.New(stream.WithMaxAttempts(attemptLimit))
		return !t.headForwarded
	}
	decision := t.assembly.Cut(t.clock(), t.assembly.Attempt(), lossOf(end.Code))
	switch decision.Step {
	case stream.StepRestart:
		return true
	case stream.StepContinue:
		return !switches.Off(switches.Continue) && t.prepareContinuation(p, decision)
	default:
		return false
	}
}

// complete tells whether all of a streamed answer was passed on and only its end marker was
// lost with the endpoint.
func (t *answerTracker) complete(p *plan, end *peerpb.End) bool {
	lost := end.Code == dispatch.CodeLost || end.Code == dispatch.CodeGone
	return lost && p.request.Stream && p.request.Service == "" && t.assembly.Finished(t.clock(), p.original)
}

func lossOf(code string) stream.Loss {
	switch code {
	case dispatch.CodeLost:
		return stream.LossEndpoint
	case dispatch.CodeGone:
		return stream.LossAttempt
	default:
		return stream.LossUnsent
	}
}

func (t *answerTracker) prepareContinuation(p *plan, d stream.Decision) bool {
	body, err := stream.ContinueBody(p.original, d.Text, d.Tokens)
	if err != nil {
		return false
	}
	splice, err := stream.NewSplice(t.firstPiece, d.Tokens)
	if err != nil {
		return false
	}
	p.attemptBody, t.splice = body, &splice
	return true
}
