// Package gateway serves callers: it takes a request, sends it straight to an
// endpoint and hands the answer back, whole or not at all.
package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/chiveramp/chiveramp/internal/core/balance"
	"github.com/chiveramp/chiveramp/internal/core/catalog"
	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/core/suspect"
)

// Errors of a request and its attempts.
var (
	// ErrUnsent: no byte of the request has left, so it has not run.
	ErrUnsent = errors.New("not sent")
	// ErrMalformed: the request breaks the protocol and is refused before it is passed on.
	ErrMalformed = errors.New("malformed request")
	// ErrTooLarge: the body is over the limit.
	ErrTooLarge = errors.New("body too large")
	// ErrNoCatalog: no configuration is known yet.
	ErrNoCatalog = errors.New("no configuration yet")
	// ErrNoRoute: no route matches host and path.
	ErrNoRoute = errors.New("no such route")
	// ErrOverloaded: the answer would come too late to be of use.
	ErrOverloaded = errors.New("too much work is waiting")
	// ErrNoEndpoint: no endpoint of the service serves the request's model, or any that
	// does was tried.
	ErrNoEndpoint = errors.New("no endpoint can take the request")
	// ErrPoison: endpoints died while they ran the request.
	ErrPoison = errors.New("endpoints have crashed while they ran this request")
	// ErrNoAdapter: endpoints have the model, and can't be given the adapter now.
	ErrNoAdapter = errors.New("no endpoint can be given the adapter now")
)

// Request is a caller's request, decoded.
type Request struct {
	// ID is the caller's own, unique to each of its attempts.
	ID string
	// Target is path and query as they came, Path the decoded path.
	Method, Target, Path, Host string
	// Caller is the address that it came from, without the port.
	Caller string
	// Header holds what is passed on.
	Header http.Header
	Body   []byte
	// Wait is how long the caller waits, 0 if it doesn't say.
	Wait    time.Duration
	Model   fleet.Model
	Adapter fleet.Adapter
	// Parts is the prompt; Prompt and Output are lengths in tokens.
	Parts                      []balance.PromptPart
	PromptTokens, OutputTokens int
	// After is the last event that the caller has of a stream, empty for all.
	After string
}

// Fingerprint is the same for all attempts of a caller at the same request.
func (r *Request) Fingerprint() suspect.Fingerprint {
	d := xxhash.New()
	_, _ = d.WriteString(r.Caller + "\n" + r.Method + " " + r.Host + r.Target + "\n")
	_, _ = d.Write(r.Body)
	return suspect.Fingerprint(d.Sum64())
}

// Attempt is one sending of a request.
type Attempt struct {
	Request  *Request
	Endpoint fleet.Endpoint
	Born     int64
	Address  string
	// TimeLeft is how long the caller still waits, 0 if not known.
	TimeLeft time.Duration
	// Level is the rank, 0 for the most urgent.
	Level int
	// After is the last event already passed on.
	After string
}

// Answer is an endpoint's answer. Its body must be closed.
type Answer struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
	// NotRun: the endpoint says that the request has not run.
	NotRun bool
	// Misdirected: another endpoint answers at the address, or the model or
	// adapter isn't there. The request has not run.
	Misdirected bool
	// WrongEndpoint: another incarnation or endpoint has the address.
	WrongEndpoint bool
	// OtherRequest: the answer belongs to another request.
	OtherRequest bool
}

// Codec knows the names that callers use.
type Codec interface {
	// Decode reads a request without its body.
	Decode(r *http.Request) (*Request, error)
	// Refuse writes an answer of the system's own.
	Refuse(w http.ResponseWriter, refusal Refusal)
	// Pass copies an endpoint's header to the caller's.
	Pass(to http.Header, from http.Header)
}

// Sender sends attempts to endpoints.
type Sender interface {
	Send(ctx context.Context, a *Attempt) (*Answer, error)
}

// Refusal is an answer of the system's own.
type Refusal struct {
	Status int
	Reason string
	// RetryAfter is when to come back, 0 if that makes no sense.
	RetryAfter time.Duration
	// Request is echoed when known.
	Request string
}

// Target is a chosen endpoint.
type Target struct {
	ID         fleet.Endpoint
	Born       int64
	Address    string
	DataCentre fleet.DataCentre
	// LoadAdapter is set when the request's adapter must be loaded first.
	LoadAdapter bool
	// Wait is the predicted time to the first byte, Age that of the report it rests on.
	Wait, Age time.Duration
	// Prefill is the part of Wait that depends on the model, Pending what the request's
	// own prompt adds to others' waits until it is answered.
	Prefill, PendingPrefill time.Duration
}

// Fleet is what the instance knows of routes and endpoints.
type Fleet interface {
	// Route returns the route of a request and the version that it stands in.
	Route(host, path string) (*catalog.Route, int64, error)
	// Choose picks an endpoint and counts the request there until Ended.
	Choose(a *balance.Request) (Target, error)
	// HasAlternative reports whether an endpoint not yet tried would take the request.
	HasAlternative(a *balance.Request) bool
	// Answered notes the first byte of an answer, and how long it took.
	Answered(t Target, a *balance.Request, took time.Duration)
	// Ended gives the place back, answered if Answered was called.
	Ended(t Target, a *balance.Request, answered bool)
	// Failed notes an attempt without an answer, Gone that the endpoint isn't there any more.
	Failed(t Target)
	Gone(t Target)
	// AnswerInterrupted notes that an endpoint broke off while it ran a request sent at a time, Proved that one was
	// answered whole. Lethal reports whether endpoints died with it, so that none may get it.
	AnswerInterrupted(t Target, f suspect.Fingerprint, sentAt time.Time)
	AnswerCompleted(f suspect.Fingerprint)
	IsPoison(f suspect.Fingerprint) bool
	// CountRequest counts a request, Again asks whether one may be sent once more.
	CountRequest(a *balance.Request)
	TakeRetry(s catalog.Service) bool
	// Ensure has an adapter loaded.
	Ensure(ctx context.Context, t Target, m fleet.Model, a fleet.Adapter) error
	// Missing notes that the endpoint lacks what the choice expected there.
	Missing(t Target, m fleet.Model, a fleet.Adapter)
	// Leaving is set once the instance shuts down.
	Leaving() bool
	// Limits bound what callers may send.
	Limits() catalog.Limits
}
