package dispatch

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/endpoint"
	"github.com/chiveramp/chiveramp/internal/peer/peerpb"
	"github.com/chiveramp/chiveramp/internal/switches"
)

// errOutOfOrder is returned when the endpoint skips an event, so that the answer would
// have a gap.
var errOutOfOrder = errors.New("events out of order")

// modelAnswer reads the events of one attempt, and reconnects when the stream breaks off.
type modelAnswer struct {
	ctx    context.Context // done when the attempt is cancelled or ends
	run    *run
	stream *endpoint.Stream
}

func (r *run) openModel(ctx context.Context) (answerSource, *peerpb.Head, error) {
	call := endpoint.Call{
		Attempt:  r.id,
		Path:     r.request.Path,
		Header:   headers(r.request.Headers),
		Body:     r.body,
		Priority: fleet.Rank(r.request.Rank).Level(),
	}
	stream, err := r.pool.engine.Start(ctx, r.entry.Address, call)
	if errors.Is(err, endpoint.ErrInterrupted) {
		stream, err = r.resume(ctx, 0, err)
	}
	if err != nil {
		return nil, nil, err
	}
	return &modelAnswer{ctx: ctx, run: r, stream: stream}, r.newHead(stream.Status(), contentType(stream.Header())), nil
}

func contentType(header http.Header) http.Header {
	return http.Header{"Content-Type": header.Values("Content-Type")}
}

func (a *modelAnswer) next(offset uint64) ([]byte, error) {
	for {
		event, err := a.stream.Next()
		if errors.Is(err, endpoint.ErrInterrupted) && a.ctx.Err() == nil {
			_ = a.stream.Close()
			if a.stream, err = a.run.resume(a.ctx, offset, err); err != nil {
				return nil, err
			}
			continue
		}
		if err != nil {
			return nil, err
		}
		if event.Sequence <= offset {
			continue
		}
		if event.Sequence != offset+1 {
			return nil, fmt.Errorf("event %d after %d of endpoint %s: %w", event.Sequence, offset, a.run.endpoint, errOutOfOrder)
		}
		return event.Data, nil
	}
}

func (a *modelAnswer) close() {
	if a.stream != nil {
		_ = a.stream.Close()
	}
}

// resume reconnects to the endpoint's stream after an offset. If that fails it returns
// the error that broke the stream, since later ones don't show the cause.
func (r *run) resume(ctx context.Context, after uint64, cause error) (*endpoint.Stream, error) {
	for range maxResumeTries {
		if switches.Off(switches.Reconnect) {
			break
		}
		stream, err := r.pool.engine.Resume(ctx, r.entry.Address, r.id, after)
		if err == nil {
			r.pool.decisions.Note(r.request.Request, "resume", r.endpoint, fmt.Sprintf("after event %d", after))
			return stream, nil
		}
		if errors.Is(err, endpoint.ErrGone) {
			break
		}
		sleep(ctx, resumeDelay)
	}
	return nil, cause
}

// sleep waits for d, or less if the context is done before.
func sleep(ctx context.Context, d time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, d)
	defer cancel()
	<-ctx.Done()
}

// serviceAnswer reads the response body of a service that isn't an inference engine.
type serviceAnswer struct {
	response *http.Response
}

func (r *run) openService(ctx context.Context) (answerSource, *peerpb.Head, error) {
	call := endpoint.ForwardCall{
		Method: r.request.Method,
		Path:   r.request.Path,
		Header: headers(r.request.Headers),
		Body:   r.request.Body,
		Length: -1,
	}
	if r.body != nil {
		call.Body, call.Length = bytes.NewReader(r.body), int64(len(r.body))
	}
	response, err := r.pool.engine.Forward(ctx, r.entry.Address, call) //nolint:bodyclose // serviceAnswer closes it
	if err != nil {
		return nil, nil, err
	}
	return &serviceAnswer{response: response}, r.newHead(response.StatusCode, response.Header), nil
}

func headers(list []*peerpb.Header) http.Header {
	header := make(http.Header, len(list))
	for _, h := range list {
		header.Add(h.Name, h.Value)
	}
	return header
}

func (a *serviceAnswer) next(uint64) ([]byte, error) {
	buffer := make([]byte, forwardBuffer)
	n, err := io.ReadAtLeast(a.response.Body, buffer, 1)
	if n > 0 {
		return buffer[:n], nil
	}
	if errors.Is(err, io.EOF) {
		return nil, io.EOF
	}
	return nil, fmt.Errorf("read answer: %w: %w", endpoint.ErrInterrupted, err)
}

func (a *serviceAnswer) close() { _ = a.response.Body.Close() }
