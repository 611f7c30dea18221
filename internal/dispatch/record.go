package dispatch

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/core/once"
	"github.com/chiveramp/chiveramp/internal/peer"
	"github.com/chiveramp/chiveramp/internal/peer/peerpb"
)

// recordedBody is the stored form of an answer's pieces, each as it was sent.
type recordedBody struct {
	Pieces [][]byte `cbor:"1,keyasint"`
}

// recorded returns the answer as its claim keeps it.
func (r *run) recorded() once.Answer {
	r.mu.Lock()
	head := r.head
	r.mu.Unlock()
	kept := once.Answer{Status: int(head.Status)}
	for _, h := range head.Headers {
		kept.Headers = append(kept.Headers, once.Header{Name: h.Name, Value: h.Value})
	}
	pieces, whole := r.Pieces()
	body, err := cbor.Marshal(recordedBody{Pieces: pieces})
	kept.Body, kept.BodyDropped = body, !whole || err != nil
	return kept
}

// replay answers from the record of an earlier run.
func replay(r *run, kept once.Answer, sink peer.Sink) *peerpb.End {
	var body recordedBody
	if kept.BodyDropped || cbor.Unmarshal(kept.Body, &body) != nil {
		end := Fail(CodeGone, "claim", "the request ran; its answer was too large to keep")
		end.Outcome = string(fleet.OutcomeRan)
		return end
	}
	if err := play(r, kept, body, sink); err != nil {
		return Fail(CodeCancelled, "replay", err.Error())
	}
	return Whole(uint64(len(body.Pieces)))
}

func play(r *run, kept once.Answer, body recordedBody, sink peer.Sink) error {
	head := r.newHead(kept.Status, nil)
	for _, h := range kept.Headers {
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
