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

// System sends calls as callers do: each asks for an entry and connects to it.
type System struct {
	callers []*client.Client
	turn    atomic.Uint64
	expect  Expect
}

// NewSystem returns a target for so many callers, each with its own connections,
// retry budget and kept addresses, that know some instances by address.
func NewSystem(callers int, instances []string, expect Expect, opts ...client.Option) *System {
	s := &System{expect: expect}
	for range callers {
		s.callers = append(s.callers, client.New(instances, opts...))
	}
	return s
}

// Close ends the unused connections.
func (s *System) Close() {
	for _, c := range s.callers {
		c.Close()
	}
}

// Send sends one call through the system, from the caller whose turn it is.
func (s *System) Send(ctx context.Context, call Call) Sample {
	caller := s.callers[s.turn.Add(1)%uint64(len(s.callers))]
	if call.Kind == KindStream {
		return s.stream(ctx, caller, call)
	}
	return s.whole(ctx, caller, call)
}

func (s *System) request(call Call) client.Request {
	request := client.Request{
		Method: http.MethodPost, Path: pathChat, Profile: call.Profile, Key: call.Key,
		Header: http.Header{"Content-Type": {"application/json"}}, Body: call.body(),
	}
	if call.Kind == KindService {
		request.Path = pathService + strings.TrimPrefix(call.Target, "/")
		request.Header.Set("Content-Type", "text/plain")
	}
	// Answers of models hold no state: running one twice does no harm.
	request.Repeat = call.Kind != KindService
	return request
}

func (s *System) stream(ctx context.Context, caller *client.Client, call Call) Sample {
	sample, began := newSample(call), time.Now()
	stream, err := caller.Stream(ctx, s.request(call))
	if err != nil {
		sample.Total = time.Since(began)
		return sample.failed(err)
	}
	defer func() { _ = stream.Close() }()
	var text strings.Builder
	for err == nil {
		var event client.Event
		if event, err = stream.Next(); err == nil {
			part := textOf(event.Data)
			if part != "" && text.Len() == 0 {
				sample.First = time.Since(began)
			}
			text.WriteString(part)
		}
	}
	sample.Total = time.Since(began)
	sample = sample.served(stream.Response())
	if !errors.Is(err, io.EOF) {
		return sample.failed(err)
	}
	sample.Outcome = stream.Outcome()
	return sample.judged(s.expect(call, text.String()))
}

func (s *System) whole(ctx context.Context, caller *client.Client, call Call) Sample {
	sample, began := newSample(call), time.Now()
	response, err := caller.Do(ctx, s.request(call))
	if err != nil {
		sample.Total = time.Since(began)
		return sample.failed(err)
	}
	defer func() { _ = response.Body.Close() }()
	sample.First = time.Since(began)
	data, err := io.ReadAll(response.Body)
	sample.Total = time.Since(began)
	sample = sample.served(response)
	if err != nil {
		return sample.failed(err)
	}
	sample.Outcome = response.FinalOutcome()
	text := string(data)
	if call.Kind == KindWhole {
		text = textOf(data)
	}
	return sample.judged(response.Status < http.StatusBadRequest && s.expect(call, text))
}

func (s Sample) served(r *client.Response) Sample {
	s.Request, s.Tries = r.Request, r.Tries
	s.Instance, s.Dispatcher, s.Endpoint = r.Instance, r.Dispatcher, r.Endpoint
	return s
}

func (s Sample) judged(whole bool) Sample {
	s.Whole = whole && s.Outcome == client.OutcomeRan
	if !s.Whole {
		s.Code = "not-whole"
	}
	return s
}

func (s Sample) failed(err error) Sample {
	s.Whole, s.Code, s.Message, s.Outcome = false, "failed", err.Error(), client.OutcomeUnknown
	var e *client.Error
	if errors.As(err, &e) {
		s.Code, s.Outcome, s.Request = e.Code, e.Outcome, e.Request
	}
	if errors.Is(err, client.ErrNoEntry) {
		s.Code, s.Outcome = "no-entry", client.OutcomeNotRun
	}
	return s
}
