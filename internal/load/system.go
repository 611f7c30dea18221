package load

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/chiveramp/chiveramp/pkg/client"
)

const (
	pathChat    = "/v1/chat/completions"
	pathService = "/services/"
)

// System sends calls through the system as callers do: each one requests the
// addresses of entry instances and connects to one of them.
type System struct {
	callers    []*client.Client
	nextCaller atomic.Uint64
	validate   Validator
}

// NewSystem returns a target with the given number of callers, each with its own
// connections, retry budget and cached entry addresses. The callers first contact
// the given instances.
func NewSystem(callers int, instances []string, validate Validator, opts ...client.Option) *System {
	s := &System{validate: validate}
	for range callers {
		s.callers = append(s.callers, client.New(instances, opts...))
	}
	return s
}

// Close closes the callers' idle connections.
func (s *System) Close() {
	for _, c := range s.callers {
		c.Close()
	}
}

// Send sends one call through the system, using the callers in round-robin order.
func (s *System) Send(ctx context.Context, call Call) Sample {
	caller := s.callers[s.nextCaller.Add(1)%uint64(len(s.callers))]
	if call.Kind == KindStream {
		return s.sendStreaming(ctx, caller, call)
	}
	return s.sendNonStreaming(ctx, caller, call)
}

func (s *System) request(call Call) client.Request {
	request := client.Request{
		Method: http.MethodPost, Path: pathChat, Profile: call.Profile, Key: call.Key,
		Header: http.Header{"Content-Type": {"application/json"}}, Body: call.requestBody(),
	}
	if call.Kind == KindService {
		request.Path = pathService + strings.TrimPrefix(call.Target, "/")
		request.Header.Set("Content-Type", "text/plain")
	}
	// Model requests have no side effects, so they are safe to run twice.
	request.Repeat = call.Kind != KindService
	return request
}

func (s *System) sendStreaming(ctx context.Context, caller *client.Client, call Call) Sample {
	sample, start := newSample(call), time.Now()
	stream, err := caller.Stream(ctx, s.request(call))
	if err != nil {
		sample.Total = time.Since(start)
		return sample.withError(err)
	}
	defer func() { _ = stream.Close() }()
	var text strings.Builder
	for err == nil {
		var event client.Event
		if event, err = stream.Next(); err == nil {
			part := answerText(event.Data)
			if part != "" && text.Len() == 0 {
				sample.FirstToken = time.Since(start)
			}
			text.WriteString(part)
		}
	}
	sample.Total = time.Since(start)
	sample = sample.withServer(stream.Response())
	if !errors.Is(err, io.EOF) {
		return sample.withError(err)
	}
	sample.Outcome = stream.Outcome()
	return sample.withResult(s.validate(call, text.String()))
}

func (s *System) sendNonStreaming(ctx context.Context, caller *client.Client, call Call) Sample {
	sample, start := newSample(call), time.Now()
	response, err := caller.Do(ctx, s.request(call))
	if err != nil {
		sample.Total = time.Since(start)
		return sample.withError(err)
	}
	defer func() { _ = response.Body.Close() }()
	sample.FirstToken = time.Since(start)
	data, err := io.ReadAll(response.Body)
	sample.Total = time.Since(start)
	sample = sample.withServer(response)
	if err != nil {
		return sample.withError(err)
	}
	sample.Outcome = response.FinalOutcome()
	text := string(data)
	if call.Kind == KindNonStreaming {
		text = answerText(data)
	}
	return sample.withResult(response.Status < http.StatusBadRequest && s.validate(call, text))
}

func (s Sample) withServer(r *client.Response) Sample {
	s.Request, s.Tries = r.Request, r.Tries
	s.Instance, s.Dispatcher, s.Endpoint = r.Instance, r.Dispatcher, r.Endpoint
	return s
}

func (s Sample) withResult(valid bool) Sample {
	s.Complete = valid && s.Outcome == client.OutcomeRan
	if !s.Complete {
		s.Code = "not-whole"
	}
	return s
}

func (s Sample) withError(err error) Sample {
	s.Complete, s.Code, s.Message, s.Outcome = false, "failed", err.Error(), client.OutcomeUnknown
	var e *client.Error
	if errors.As(err, &e) {
		s.Code, s.Outcome, s.Request = e.Code, e.Outcome, e.Request
	}
	if errors.Is(err, client.ErrNoEntry) {
		s.Code, s.Outcome = "no-entry", client.OutcomeNotRun
	}
	return s
}
