package gateway_test

import (
	"cmp"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/chiveramp/chiveramp/internal/core/balance"
	"github.com/chiveramp/chiveramp/internal/core/catalog"
	"github.com/chiveramp/chiveramp/internal/core/suspect"
	"github.com/chiveramp/chiveramp/internal/gateway"
	"github.com/chiveramp/chiveramp/platform/standin"
)

// fakeGuard refuses the prompts of later checks or claims, as a verdict does that is found while
// a request waits.
type fakeGuard struct {
	guardMu                  sync.Mutex
	checks, claims           int
	refuseChecks             int // refuses from this check on, 0 for never
	refuseClaims             int
	refusal                  error    // gateway.ErrCrashingPart if nil
	promptBreaks, promptRuns []string // first parts of prompts that were interrupted, or begun
}

func (f *fakeGuard) PromptInterrupted(t gateway.Target, a *balance.Request, _ time.Time) {
	f.guardMu.Lock()
	defer f.guardMu.Unlock()
	if len(a.Parts) > 0 {
		f.promptBreaks = append(f.promptBreaks, fmt.Sprint(t.ID, " ", a.Parts[0].ID))
	}
}

func (f *fakeGuard) PromptBegun(a *balance.Request) {
	f.guardMu.Lock()
	defer f.guardMu.Unlock()
	if len(a.Parts) > 0 {
		f.promptRuns = append(f.promptRuns, a.Parts[0].ID)
	}
}

func (f *fakeGuard) CheckRun(*balance.Request, suspect.Identity) (time.Duration, error) {
	f.guardMu.Lock()
	defer f.guardMu.Unlock()
	f.checks++
	return f.refuseFrom(f.checks, f.refuseChecks)
}

func (f *fakeGuard) ClaimRun(*balance.Request, suspect.Identity) (time.Duration, error) {
	f.guardMu.Lock()
	defer f.guardMu.Unlock()
	f.claims++
	return f.refuseFrom(f.claims, f.refuseClaims)
}

func (f *fakeGuard) refuseFrom(n, from int) (time.Duration, error) {
	if from > 0 && n >= from {
		return 90 * time.Second, fmt.Errorf("%w: 5c", cmp.Or(f.refusal, gateway.ErrCrashingPart))
	}
	return 0, nil
}

// A request with a part under which endpoints crash is refused as not run, with the time at which
// the verdict is reviewed, also if it is found while the request waits for its turn or its retry.
// One that may have run gets no such promise. A poison request is refused for good.
func TestPromptsThatCrashEndpointsAreRefused(t *testing.T) {
	const none, drop = standin.BehaviourNone, standin.BehaviourLost
	tests := []struct {
		name           string
		checks, claims int
		refusal        error
		runners        []standin.Behaviour
		status, runs   int
		retryAfter     string
	}{
		{name: "known on arrival", checks: 1, runners: []standin.Behaviour{none}, status: 503, retryAfter: "90.000"},
		{name: "found during the wait", claims: 1, runners: []standin.Behaviour{none}, status: 503, retryAfter: "90.000"},
		{name: "found before the retry", checks: 2, runners: []standin.Behaviour{drop, none}, status: 502, runs: 1},
		{name: "found during the retry's wait", claims: 2, runners: []standin.Behaviour{drop, none}, status: 502, runs: 1},
		{name: "suspect", claims: 1, refusal: gateway.ErrSuspect, runners: []standin.Behaviour{none, none}, status: 503, retryAfter: "90.000"},
		{name: "poison, known on arrival", checks: 1, refusal: gateway.ErrPoison, runners: []standin.Behaviour{none}, status: 400},
		{name: "poison, found during the wait", claims: 1, refusal: gateway.ErrPoison, runners: []standin.Behaviour{none, none}, status: 400},
		{name: "poison, found during the retry's wait", claims: 2, refusal: gateway.ErrPoison, runners: []standin.Behaviour{drop, none, none}, status: 502, runs: 1},
		{name: "not found", runners: []standin.Behaviour{drop, none}, status: 200, runs: 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFleet(t, catalog.KindSafe, tt.runners...)
			f.refuseChecks, f.refuseClaims, f.refusal = tt.checks, tt.claims, tt.refusal
			answer, err := send(t, serve(t, f), http.MethodGet, standin.Prompt("5c:800,e4:250"), "")
			require.NoError(t, err)
			assert.Equal(t, tt.status, answer.status)
			assert.Equal(t, tt.retryAfter, answer.header.Get("Retry-After"))
			assert.Equal(t, tt.runs, f.runs())
		})
	}
}

// Only a run that broke off before its first event, or before its answer was complete, speaks
// against the parts of its prompt, and only a successful answer that has begun clears them.
func TestPromptsInFlightAtABreak(t *testing.T) {
	const none, drop, cut, fail, refuse = standin.BehaviourNone, standin.BehaviourLost, standin.BehaviourCut, standin.BehaviourFail, standin.BehaviourFull
	tests := []struct {
		name          string
		kind          catalog.Kind
		runners       []standin.Behaviour
		breaks, begun []string
	}{
		{name: "answered", kind: catalog.KindSafe, runners: []standin.Behaviour{none}, begun: []string{"5c"}},
		{name: "lost", kind: catalog.KindSafe, runners: []standin.Behaviour{drop, none}, breaks: []string{"i-0 5c"}, begun: []string{"5c"}},
		{name: "failed", kind: catalog.KindSafe, runners: []standin.Behaviour{fail, fail}},
		{name: "not run", kind: catalog.KindSafe, runners: []standin.Behaviour{refuse, refuse}},
		{name: "stream", kind: catalog.KindStream, runners: []standin.Behaviour{none}, begun: []string{"5c"}},
		{name: "stream lost twice", kind: catalog.KindStream, runners: []standin.Behaviour{drop, drop}, breaks: []string{"i-0 5c", "i-1 5c"}},
		{name: "stream cut, then lost", kind: catalog.KindStream, runners: []standin.Behaviour{cut, drop}, begun: []string{"5c"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFleet(t, tt.kind, tt.runners...)
			method, header := http.MethodGet, standin.Prompt("5c:800,e4:250")
			if tt.kind == catalog.KindStream {
				method, header["Model"] = http.MethodPost, "m"
			}
			_, _ = send(t, serve(t, f), method, header, "") // some answers break off
			f.guardMu.Lock()
			defer f.guardMu.Unlock()
			assert.Equal(t, tt.breaks, f.promptBreaks)
			assert.Equal(t, tt.begun, f.promptRuns)
		})
	}
}
