package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
)

// passRest passes on the rest of an answer that doesn't fit into the memory, after its beginning.
// If it breaks off, the error has the caller's connection closed, so that it doesn't look complete.
func (a *attempt) passRest(ctx context.Context, answer *Answer, held *heldAnswer) error {
	passed := held.size
	held.release()
	a.job.log("step", "unheld", "endpoint", a.target.ID, "bytes", passed)
	rest := &limitedBody{body: answer.Body, left: a.job.gateway.maxAnswerBytes - passed}
	_, err := io.Copy(a.job.delivery, rest)
	if rest.err != nil {
		a.reportBroken(ctx, rest.err)
		return fmt.Errorf("answer broke off: %w", rest.err)
	}
	return err
}

// limitedBody is the body of an answer that fails beyond its limit.
type limitedBody struct {
	body io.Reader
	left int64
	err  error // failure of a read, nil at the end
}

func (l *limitedBody) Read(b []byte) (int, error) {
	n, err := l.body.Read(b)
	if l.left -= int64(n); l.left < 0 {
		n, err = 0, errAnswerTooLarge
	}
	if err != nil && !errors.Is(err, io.EOF) {
		l.err = err
	}
	return n, err
}

// reportBroken reports an endpoint whose answer broke off. One that was too large is no sign of
// a crash.
func (a *attempt) reportBroken(ctx context.Context, err error) {
	if errors.Is(err, errAnswerTooLarge) {
		a.job.gateway.fleet.Failed(a.target)
		return
	}
	a.reportFailure(ctx)
}
