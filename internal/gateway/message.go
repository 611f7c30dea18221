// Package gateway serves callers: it sends each request directly to an endpoint and passes
// the answer back. An answer is passed on complete, or the caller can see that it is not.
package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/chiveramp/chiveramp/internal/core/allotment"
	"github.com/chiveramp/chiveramp/internal/core/balance"
	"github.com/chiveramp/chiveramp/internal/core/catalog"
	"github.com/chiveramp/chiveramp/internal/core/credential"
	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/core/shutdown"
	"github.com/chiveramp/chiveramp/internal/core/suspect"
)

// Errors of requests and their attempts.
var (
	// ErrNotSent is returned if no byte of the request was sent, so that it has not run.
	ErrNotSent = errors.New("not sent")
	// ErrMalformed is returned for a request that violates the protocol. It is refused and
	// reaches no endpoint.
	ErrMalformed = errors.New("malformed request")
	// ErrTooLarge is returned for a body over the limit.
	ErrTooLarge = errors.New("body too large")
	// ErrNoCatalog is returned until the instance has received a configuration.
	ErrNoCatalog = errors.New("no configuration received yet")
	// ErrOutdated is returned if no route matches, but a newer configuration is known to exist.
	ErrOutdated = errors.New("no route matches the host and path, and the configuration is outdated")
	// ErrMayBeOutdated is returned if no route matches, and neither the store nor a peer has confirmed
	// the configuration for a while.
	ErrMayBeOutdated = errors.New("no route matches the host and path, and the configuration may be outdated")
	// ErrNoRoute is returned if no route matches the host and path.
	ErrNoRoute = errors.New("no route matches the host and path")
	// ErrOverloaded is returned if the predicted wait is too long for the answer to be useful.
	ErrOverloaded = errors.New("too much work is queued")
	// ErrNoEndpoint is returned if no endpoint of the service has the request's model, or
	// all that have it were tried.
	ErrNoEndpoint = errors.New("no endpoint can take the request")
	// ErrPoison is returned for a poison request: endpoints crashed while they ran it.
	ErrPoison = errors.New("endpoints crashed while running this request")
	// ErrSuspect is returned for a request until another one like it was tried: endpoints crashed while
	// they ran it, which may have had another reason.
	ErrSuspect = errors.New("endpoints crashed while running this request, which may have had another reason")
	// ErrCrashingPart is returned for a request whose prompt has a part under which endpoints
	// crashed. Others may be the cause, so the request may be repeated later.
	ErrCrashingPart = errors.New("endpoints crashed under a part of the prompt")
	// ErrUnknownOrigin is returned for the rest of a stream if it isn't known which version of the
	// endpoints' software began it, and several may have.
	ErrUnknownOrigin = errors.New("the version that began the stream is not known")
	// ErrUnknownKey is returned if a route needs a key, and the request has none that any
	// workspace holds.
	ErrUnknownKey = errors.New("no workspace has the request's key")
	// ErrKeyOutdated is returned in its place if a newer configuration is known to exist.
	ErrKeyOutdated = errors.New("no workspace has the request's key, and the configuration is outdated")
	// ErrUnconfirmed is returned if the configuration has not been known to be the newest for so
	// long that the request's key may have been revoked.
	ErrUnconfirmed = errors.New("the configuration may be too old to check the request's key")
	// ErrKeyLapsed is returned if a key that was admitted can't be used any more.
	ErrKeyLapsed = errors.New("the request's key can't be used any more")
	// ErrOverAllotment is returned if the allotment of the request's workspace is used up,
	// ErrNoAllotment if no instance that keeps the allotment answers.
	ErrOverAllotment = errors.New("the workspace's allotment is used up")
	ErrNoAllotment   = errors.New("no instance that keeps the workspace's allotment answers")
	// ErrTargetLost is returned if the endpoint chosen for a request can't take it any more.
	ErrTargetLost = errors.New("the endpoint can't take the request any more")
	// ErrShutdown is returned for a request that the instance, which is shutting down, would cut.
	ErrShutdown = errors.New("the instance shuts down before the request could end")
	// ErrTooLate is returned for a request whose answer can't begin before its caller has waited long enough.
	ErrTooLate = errors.New("too little time is left for an answer to begin")
	// ErrAbandoned is returned for a request whose caller has left.
	ErrAbandoned = errors.New("the caller has left")
	// ErrNoAdapter is returned if endpoints have the model, but none can load the adapter now.
	ErrNoAdapter = errors.New("no endpoint can load the adapter now")
)

// Request is a caller's decoded request.
type Request struct {
	// ID is set by the caller, a new one for each of its attempts.
	ID string
	// Target is the path and query as received, Path the decoded path.
	Method, Target, Path, Host string
	// Caller is the remote address without the port.
	Caller string
	// Header holds the header fields that are passed on.
	Header http.Header
	Body   []byte
	// Wait is how long the caller waits for the answer, 0 if not given.
	Wait    time.Duration
	Model   fleet.Model
	Adapter fleet.Adapter
	// Parts is the prompt as segments, which requests may share and endpoints may have cached.
	Parts                      []balance.PromptPart
	PromptTokens, OutputTokens int
	// TokensStated is set if the caller has stated the numbers of tokens.
	TokensStated bool
	// Key is the digest of the caller's key, Workspace the name of its workspace once the key
	// was checked, empty if the route needs no key.
	Key       credential.Digest
	Workspace string
	// After is the id of the last event of a stream that the caller has received, empty to
	// start from the beginning.
	After string
	// Resumes is the ID of the request that got the first event of that stream, empty if the caller
	// doesn't say so.
	Resumes string
}

// Identity returns the hashes by which the request is known when it comes again: of the caller, the
// method, the target and the body, and of the method, the path and the body alone.
func (r *Request) Identity() suspect.Identity {
	return suspect.Identity{
		Request:  fingerprint(r.Caller+"\n"+r.Method+" "+r.Host+r.Target, r.Body),
		Resource: fingerprint(r.Method+" "+r.Host+r.Path, r.Body),
	}
}

func fingerprint(head string, body []byte) suspect.Fingerprint {
	d := xxhash.New()
	_, _ = d.WriteString(head + "\n")
	_, _ = d.Write(body)
	return suspect.Fingerprint(d.Sum64())
}

// Attempt is one attempt at a request, at one endpoint.
type Attempt struct {
	Request  *Request
	Endpoint fleet.Endpoint
	Born     int64
	Address  string
	// TimeLeft is how long the caller still waits, 0 if unknown.
	TimeLeft time.Duration
	// Level is the request's rank, 0 for the most urgent one. Late is set if it gives way to the
	// others of its rank.
	Level int
	Late  bool
	// After is the id of the last event already passed on to the caller.
	After string
	// Wanted reports whether the request is still to be sent. The sender asks it immediately before the first
	// byte, since its caller may have left while a connection was made.
	Wanted func() bool
}

// Answer is an endpoint's answer. The receiver must close the body.
type Answer struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
	// NotRun is set if the endpoint reports that the request has not run.
	NotRun bool
	// Misdirected is set if another endpoint answers at the address, or the endpoint doesn't
	// have the model or adapter. The request has not run.
	Misdirected bool
	// WrongEndpoint is set if another endpoint, or another incarnation, uses the address.
	WrongEndpoint bool
	// OtherRequest is set if the answer belongs to another request.
	OtherRequest bool
	// OtherContent is set if the content type is not that of a series of events.
	OtherContent bool
	// UntilClose is set if the body has neither a length nor chunks and ends with its connection.
	UntilClose bool
	// Limited is set if the endpoint asks for no more than PerSecond requests a second, from all
	// instances together, for as long as its answers say so.
	Limited   bool
	PerSecond float64
	// Leaving is set if the endpoint says that it shuts down.
	Leaving bool
	// RetryAfter is for how long the endpoint wants nothing from this instance, 0 if it doesn't
	// say so.
	RetryAfter time.Duration
}

// Codec translates between HTTP messages of callers and this package's types.
type Codec interface {
	// Decode decodes a request except for its body.
	Decode(r *http.Request) (*Request, error)
	// Refuse writes a refusal as the answer to a request.
	Refuse(w http.ResponseWriter, refusal Refusal)
	// Pass copies the header fields of an endpoint's answer that the caller gets.
	Pass(to http.Header, from http.Header)
	// EventField reports whether the first line of an event may have a field that server-sent events
	// don't define.
	EventField(name string) bool
}

// Sender sends attempts to endpoints.
type Sender interface {
	Send(ctx context.Context, a *Attempt) (*Answer, error)
}

// Refusal is an answer made by the gateway itself instead of an endpoint.
type Refusal struct {
	Status int
	Reason string
	// RetryAfter is when to try again, 0 if that is pointless.
	RetryAfter time.Duration
	// Request is the request's id, empty if it is unknown.
	Request string
}

// Target is the endpoint chosen for an attempt.
type Target struct {
	ID         fleet.Endpoint
	Born       int64
	Address    string
	DataCentre fleet.DataCentre
	Software   fleet.Software
	// LoadAdapter is set when the request's adapter must be loaded first.
	LoadAdapter bool
	// Wait is the predicted time to the first byte, Age the age of the endpoint's report on
	// which the prediction is based.
	Wait, Age time.Duration
	// Prefill is the part of Wait that depends on the model, PendingPrefill what the
	// request's own prompt adds to the waits of others until the first byte of its answer.
	Prefill, PendingPrefill time.Duration
	// Limited is set if the endpoint has asked for no more than some requests a second.
	Limited bool
}

// Admission is the decision on a request to an endpoint.
type Admission struct {
	// Wait is how long the request's prompt waits there, or when a refused one may come back.
	Wait time.Duration
	// Hold is how long to wait before the request is sent.
	Hold time.Duration
	// Refused is set if Wait is too long, Limited beside it if that is due to the limit that the
	// endpoint has asked for.
	Refused, Limited bool
	// Late is set if the request was admitted although it can't be in time. AskAgain is when a
	// refused one that waits for room is to ask again, 0 if it doesn't wait, Ahead how many late
	// requests have their turns before it.
	Late     bool
	AskAgain time.Duration
	Ahead    int
	// Yields is set if the request leaves room to other workspaces.
	Yields bool
	// Return is when the caller of a refused request may come back, 0 if that isn't known.
	Return time.Duration
}

// Question is what a request asks of the endpoint that it is to be sent to.
type Question struct {
	// Work is how long its prompt occupies the engine, Limit how long it can wait to be in time.
	Work, Limit time.Duration
	// Late is set if it can wait longer.
	Late *Late
}

// Late is a request that may be answered after its target.
type Late struct {
	// ID is the same in all questions of the request.
	ID uint64
	// Waited is how long ago it arrived, Patience how long it can still wait before it is sent.
	Waited, Patience time.Duration
	// Asked is set if it has waited since an earlier question, Last if it doesn't ask again.
	Asked, Last bool
	// Yields is set if it leaves room to other workspaces.
	Yields bool
}

// Fleet is the instance's view of routes and endpoints.
type Fleet interface {
	// Route returns the route of a request, and the configuration version that contains it.
	Route(host, path string) (*catalog.Route, int64, error)
	// Workspace returns the workspace of a request with a route of a configuration version, nil
	// if the route needs no key, and how long ago the configuration was last known to be the
	// newest (negative: never). With an error the workspace is for the log, if it is known.
	Workspace(r *catalog.Route, version int64, key credential.Digest) (*catalog.Workspace, time.Duration, error)
	// KeyValid returns ErrKeyLapsed if an admitted request with a key must not be sent now.
	KeyValid(key credential.Digest, workspace string) error
	// Charge takes the cost of a request from its workspace's allotment, if it has one. Its error
	// is ErrOverAllotment if there is no room before the wait is over, or ErrNoAllotment.
	Charge(ctx context.Context, w *catalog.Workspace, cost float64) (r allotment.Receipt, wait time.Duration, err error)
	// Refund gives back what was charged for a request that has not run.
	Refund(r allotment.Receipt)
	// FairLevel returns the rank with which a request waits whose workspace has a rank of its own.
	// RecordService counts the end of such a request.
	FairLevel(level int) int
	RecordService(level int, served bool)
	// Choose picks an endpoint and counts the request there until Ended.
	Choose(a *balance.Request) (Target, error)
	// CheckTarget returns ErrTargetLost if a chosen endpoint leaves or is gone, has asked to be
	// spared, or no longer has the request's model.
	CheckTarget(t Target, m fleet.Model) error
	// HasAlternative reports whether an endpoint that was not tried yet can take the request now.
	HasAlternative(a *balance.Request) bool
	// Answered records the first byte of an answer, and the time it took.
	Answered(t Target, a *balance.Request, took time.Duration)
	// Ended releases the slot taken by Choose. The flag says whether Answered was called.
	Ended(t Target, a *balance.Request, answered bool)
	// Failed records an attempt without a complete answer, Gone that another endpoint or
	// incarnation uses the address, or that the endpoint has said that it leaves.
	Failed(t Target)
	Gone(t Target)
	// Spare records that the target wants nothing from this instance for a while.
	Spare(t Target, wait time.Duration)
	CrashGuard
	Origins
	// CountRequest counts a request for the retry budget, the demand of its model and the usage of
	// its workspace, which it adds to the request. TakeRetry
	// takes one retry from the budget and reports whether there was one.
	CountRequest(a *balance.Request, workspace string)
	TakeRetry(s catalog.Service) bool
	// Admit asks when a prompt may be sent to the target. It is refused if that is too late.
	Admit(ctx context.Context, t Target, a *balance.Request, q Question) Admission
	// Queues reports whether requests to a service wait for room. Withdraw ends the wait of one
	// whose caller has left.
	Queues(s catalog.Service) bool
	Withdraw(ctx context.Context, t Target, id uint64)
	// RecordLimit records whether an answer of the target asked for a limit, and which.
	RecordLimit(t Target, limited bool, perSecond float64)
	// Ensure has an adapter loaded at the target.
	Ensure(ctx context.Context, t Target, m fleet.Model, a fleet.Adapter) error
	// Missing records that the endpoint doesn't have the model or adapter that Choose expected
	// there.
	Missing(t Target, m fleet.Model, a fleet.Adapter)
	// Leaving reports whether the instance is shutting down, and its plan for that.
	Leaving() (plan shutdown.Plan, leaving bool)
	// Limits returns the limits on callers' requests.
	Limits() catalog.Limits
}
