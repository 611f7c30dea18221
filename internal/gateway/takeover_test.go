package gateway_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/assert"

	"github.com/chiveramp/chiveramp/internal/core/balance"
	"github.com/chiveramp/chiveramp/internal/core/catalog"
	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/gateway"
	"github.com/chiveramp/chiveramp/platform"
	"github.com/chiveramp/chiveramp/platform/standin"
)

// events returns events with some ids, as stand-ins write them. An empty id gives an event without one.
func events(ids ...string) string {
	var b strings.Builder
	for _, id := range ids {
		if id != "" {
			_, _ = fmt.Fprintf(&b, "id: %s\n", id)
		}
		_, _ = fmt.Fprintf(&b, "data: piece %s\n\n", id)
	}
	return b.String()
}

// takeover is a stream whose first endpoint pauses, and goes on at one step of the attempt at a second one.
type takeover struct {
	*fakeFleet
	at           string // the step at which the first endpoint goes on
	refuseSecond bool   // the second endpoint doesn't admit the request at first
	slowCaller   bool   // takes long to read the event with which the first endpoint goes on
	firstEnds    bool   // the first endpoint doesn't pause again

	admissions, sends atomic.Int32
	wake              chan struct{}
	once              sync.Once
	endpoints         sync.WaitGroup

	writing atomic.Int32
	overlap atomic.Bool
	mu      sync.Mutex
	body    strings.Builder
	header  http.Header
}

const takeoverEvents = 6

// step lets the first endpoint go on, and the caller get its event as far as it reads.
func (s *takeover) step(name string) {
	if name == s.at {
		s.once.Do(func() { close(s.wake) })
		time.Sleep(time.Millisecond)
	}
}

func (s *takeover) HasAlternative(a *balance.Request) bool {
	s.step("silent")
	return s.fakeFleet.HasAlternative(a)
}

func (s *takeover) Choose(a *balance.Request) (gateway.Target, error) {
	if len(a.Exclude) > 0 {
		s.step("choose")
	}
	target, err := s.fakeFleet.Choose(a)
	if len(a.Exclude) > 0 {
		s.step("chosen")
	}
	return target, err
}

func (s *takeover) Admit(_ context.Context, t gateway.Target, _ *balance.Request, _ gateway.Question) gateway.Admission {
	if t.ID == "i-0" {
		return gateway.Admission{}
	}
	s.step("admit")
	return gateway.Admission{Refused: s.refuseSecond && s.admissions.Add(1) == 1}
}

func (s *takeover) Ended(t gateway.Target, a *balance.Request, answered bool) {
	if t.ID != "i-0" {
		s.step("ended")
	}
	s.fakeFleet.Ended(t, a, answered)
}

// Log makes the step at which the job handles the end of the second attempt.
func (s *takeover) Log(pairs ...any) error {
	s.step(fmt.Sprint(pairs[1]))
	return nil
}

func (s *takeover) Send(ctx context.Context, a *gateway.Attempt) (*gateway.Answer, error) {
	reader, writer := io.Pipe()
	context.AfterFunc(ctx, func() { _ = writer.CloseWithError(ctx.Err()) })
	after, _ := strconv.Atoi(a.After)
	first := s.sends.Add(1) == 1
	if !first {
		s.step("send")
	}
	s.endpoints.Go(func() {
		for n := after + 1; n <= takeoverEvents; n++ {
			if first && n == 3 {
				<-s.wake
			}
			if first && n == 4 && !s.firstEnds {
				<-ctx.Done()
			}
			if !first && n == after+1 {
				s.step("event")
			}
			if _, err := io.WriteString(writer, events(strconv.Itoa(n))); err != nil {
				return
			}
		}
		_ = writer.Close()
	})
	return &gateway.Answer{Status: http.StatusOK, Header: http.Header{}, Body: reader}, nil
}

func (s *takeover) Header() http.Header { return s.header }
func (s *takeover) WriteHeader(int)     {}
func (s *takeover) Flush()              {}

func (s *takeover) Write(b []byte) (int, error) {
	if s.writing.Add(1) > 1 {
		s.overlap.Store(true)
	}
	defer s.writing.Add(-1)
	if s.slowCaller && strings.Contains(string(b), "id: 3\n") {
		time.Sleep(3 * time.Second)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.body.Write(b)
}

// After implements gateway.Timers.
func (s *takeover) After(wait time.Duration, fn func(now time.Time)) (cancel func()) {
	timer := time.AfterFunc(wait, func() { fn(time.Now()) })
	return func() { timer.Stop() }
}

// An endpoint that goes on while a second one is asked, at whatever step, leaves each event once
// and in order.
func TestEventsStayInOrderThroughATakeOver(t *testing.T) {
	runners := newFleet(t, catalog.KindStream, standin.BehaviourNone, standin.BehaviourNone, standin.BehaviourNone)
	var want strings.Builder
	for n := range takeoverEvents {
		want.WriteString(events(strconv.Itoa(n + 1)))
	}
	for _, at := range []string{"silent", "choose", "chosen", "admit", "send", "event", "ended", "beside", "never"} {
		for options := range 8 {
			refuse, slow, ends := options&1 > 0, options&2 > 0, options&4 > 0
			t.Run(fmt.Sprintf("%s, refuse %t, slow %t, ends %t", at, refuse, slow, ends), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f := &fakeFleet{runners: runners.runners, retryBudget: 9, route: &catalog.Route{
						Name: "r", Kind: catalog.KindStream, Timeout: 30 * time.Second, Target: 200 * time.Millisecond, Attempts: 3,
						MaxEventGap: 50 * time.Millisecond, Splits: []catalog.Split{{Service: "s", Weight: 1}}, Resumable: true,
					}}
					s := &takeover{fakeFleet: f, at: at, refuseSecond: refuse, slowCaller: slow, firstEnds: ends, wake: make(chan struct{}), header: http.Header{}}
					g := gateway.New(fleet.Place{}, platform.CallerCodec{}, s, s, time.Now, gateway.WithTimers(s), gateway.WithLogger(log.Logger(s)))
					request := httptest.NewRequestWithContext(t.Context(), http.MethodPost, "/x", http.NoBody)
					request.Host = "board.example"
					request.Header.Set("Request-Id", "r1")
					request.Header.Set("Model", "m")
					g.ServeHTTP(s, request)
					s.once.Do(func() { close(s.wake) })
					s.endpoints.Wait()
					assert.Equal(t, want.String(), s.body.String())
					assert.False(t, s.overlap.Load(), "two attempts write at once")
				})
			})
		}
	}
}
