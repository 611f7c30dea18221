// Package once decides who may run a request that must run at most once.
//
// A claim is a record in the platform's store, created only if absent and never
// taken over. This package is the pure part: it encodes records and judges what a
// record found in the store means for a request.
package once

import (
	"errors"
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/uuid"

	"github.com/chiveramp/chiveramp/internal/core/fleet"
)

// Limits of records.
const (
	// MaxAnswerBytes is the largest answer body that is kept, in bytes.
	MaxAnswerBytes = 64 << 10
	// DefaultResendWindow is how long a caller may resend with the same key.
	DefaultResendWindow = 24 * time.Hour
	// DefaultRetention is how long a record is kept; it outlives the window.
	DefaultRetention = 26 * time.Hour

	runningRetryAfter = time.Second
	clockSkewMargin   = 5 * time.Minute
)

// Errors of claims.
var (
	// ErrReused: the key was used before with another request body.
	ErrReused = errors.New("key reused with another request")
	// ErrMalformed: a stored record can't be read.
	ErrMalformed = errors.New("malformed claim record")
	// ErrKey: the key is empty or too long.
	ErrKey = errors.New("invalid idempotency key")
)

const maxKeyBytes = 256

// Key is an idempotency key scoped by the profile of its caller.
type Key struct {
	Profile fleet.Profile
	Text    string
}

// Validate returns an error when the key can't be used.
func (k Key) Validate() error {
	if k.Text == "" || len(k.Text) > maxKeyBytes {
		return fmt.Errorf("%w: want 1 to %d bytes, have %d", ErrKey, maxKeyBytes, len(k.Text))
	}
	return nil
}

// Prefix is where all claims stand in the store.
const Prefix = "once/"

// MinShards is how many parts the claims of a period stand in at least.
const MinShards = 256

// Path is the key's place in the store before the first period. Two different keys
// never share one.
func (k Key) Path() string {
	return Partition{Shards: MinShards}.Path(k)
}

// Expired says whether a key that carries its time of issue (UUID version 7) is
// older than the window for resends, so that its record may be gone.
func (k Key) Expired(now time.Time, window time.Duration) bool {
	id, err := uuid.Parse(k.Text)
	if err != nil || id.Version() != 7 {
		return false
	}
	seconds, nanos := id.Time().UnixTime()
	return now.Sub(time.Unix(seconds, nanos)) > window
}

// Request is one try to run what a key stands for.
type Request struct {
	ID      string
	Attempt string
	// Fingerprint is the hash of method, path and body.
	Fingerprint uint64
	// Holder names the claiming instance with its incarnation.
	Holder string
	// Deadline is when the request's deadline has passed.
	Deadline time.Time
}

// Header is one header line of an answer.
type Header struct {
	Name  string `cbor:"1,keyasint"`
	Value string `cbor:"2,keyasint"`
}

// Answer is what the endpoint answered.
type Answer struct {
	Status  int      `cbor:"1,keyasint"`
	Headers []Header `cbor:"2,keyasint,omitempty"`
	Body    []byte   `cbor:"3,keyasint,omitempty"`
	// BodyDropped says that the body was larger than AnswerLimit and is not kept.
	BodyDropped bool `cbor:"4,keyasint,omitempty"`
}

// Trim returns the answer as it is kept.
func (a Answer) Trim() Answer {
	if len(a.Body) <= MaxAnswerBytes {
		return a
	}
	a.Body, a.BodyDropped = nil, true
	return a
}

// State is the step that a claim has reached.
type State string

// The states of a claim.
const (
	// StateRunning: the holder may have sent the request to an endpoint.
	StateRunning State = "running"
	// StateFinished: the request ran and its end was seen.
	StateFinished State = "finished"
	// StateReleased: the holder itself gave the claim back before it sent anything.
	StateReleased State = "released"
)

// Record is a claim as stored.
type Record struct {
	// Claim is unique for each try to claim.
	Claim       string    `cbor:"1,keyasint"`
	State       State     `cbor:"2,keyasint"`
	Fingerprint uint64    `cbor:"3,keyasint"`
	Request     string    `cbor:"4,keyasint"`
	Attempt     string    `cbor:"5,keyasint,omitempty"`
	Holder      string    `cbor:"6,keyasint,omitempty"`
	Claimed     time.Time `cbor:"7,keyasint"`
	Deadline    time.Time `cbor:"8,keyasint"`
	Answer      *Answer   `cbor:"9,keyasint,omitempty"`
}

// New returns the record of a claim about to be made.
func New(claim string, now time.Time, r Request) Record {
	return Record{
		Claim: claim, State: StateRunning, Fingerprint: r.Fingerprint,
		Request: r.ID, Attempt: r.Attempt, Holder: r.Holder, Claimed: now, Deadline: r.Deadline,
	}
}

// Finish returns the record with the answer.
func (r Record) Finish(a Answer) Record {
	kept := a.Trim()
	r.State, r.Answer = StateFinished, &kept
	return r
}

// Release returns the record given back by its holder.
func (r Record) Release() Record {
	r.State = StateReleased
	return r
}

// Encode returns the stored form.
func (r Record) Encode() ([]byte, error) {
	raw, err := cbor.Marshal(r)
	if err != nil {
		return nil, fmt.Errorf("encode claim %s: %w", r.Claim, err)
	}
	return raw, nil
}

// Decode reads a stored record.
func Decode(raw []byte) (Record, error) {
	var r Record
	if err := cbor.Unmarshal(raw, &r); err != nil {
		return Record{}, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	return r, nil
}
