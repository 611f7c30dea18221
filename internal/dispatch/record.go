package dispatch

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/core/once"
	"github.com/chiveramp/chiveramp/internal/peer"
	"github.com/chiveramp/chiveramp/internal/peer/peerpb"
)

// recordedBody is the stored form of an answer's body. It keeps the pieces as they were
// sent, so that a replay sends the same ones.
type recordedBody struct {
	Pieces [][]byte `cbor:"1,keyasint"`
}

// recordedAnswer returns the answer in the form stored with its claim. The body is
// marked as dropped if its start is no longer buffered.
func (r *run) recordedAnswer() once.Answer {
	r.mu.Lock()
	head := r.head
	r.mu.Unlock()
	answer := once.Answer{Status: int(head.Status)}
	for _, h := range head.Headers {
		answer.Headers = append(answer.Headers, once.Header{Name: h.Name, Value: h.Value})
	}
	pieces, complete := r.Pieces()
	body, err := cbor.Marshal(recordedBody{Pieces: pieces})
	answer.Body, answer.BodyDropped = body, !complete || err != nil
	return answer
}

// replay answers a request with the stored answer of an earlier run.
func replay(r *run, stored once.Answer, sink peer.Sink) *peerpb.End {
	var body recordedBody
	if stored.BodyDropped || cbor.Unmarshal(stored.Body, &body) != nil {
		end := Fail(CodeGone, "claim", "the request ran, but its answer was too large to store")
		end.Outcome = string(fleet.OutcomeRan)
		return end
	}
	if err := sendRecorded(r, stored, body, sink); err != nil {
		return Fail(CodeCancelled, "replay", err.Error())
	}
	return Complete(uint64(len(body.Pieces)))
}

func sendRecorded(r *run, stored once.Answer, body recordedBody, sink peer.Sink) error {
	head := r.newHead(stored.Status, nil)
	for _, h := range stored.Headers {
		head.Headers = append(head.Headers, &peerpb.Header{Name: h.Name, Value: h.Value})
	}
	if err := sink.Head(head); err != nil {
		return fmt.Errorf("head: %w", err)
	}
	for i, piece := range body.Pieces {
		if err := sink.Data(&peerpb.Data{Attempt: r.id, Offset: uint64(i), Data: piece}); err != nil {
			return fmt.Errorf("piece %d: %w", i, err)
		}
	}
	return nil
}
