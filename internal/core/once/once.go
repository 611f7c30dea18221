// Package once decides who may run a request that must run at most once.
//
// A claim is a record in the platform's store, created only if absent and never taken over
// by another holder. This package does no I/O: it encodes records and decides what a record
// found in the store means for a request.
package once

import (
	"errors"
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/uuid"

	"github.com/chiveramp/chiveramp/internal/core/fleet"
)

// Limits and retention of claim records.
const (
	// MaxAnswerBytes is the largest answer body that is stored.
	MaxAnswerBytes = 64 << 10
	// DefaultResendWindow is how long a caller may resend a request with the same key.
	DefaultResendWindow = 24 * time.Hour
	// DefaultRetention is how long a record is stored; it is longer than the window.
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

// Key is an idempotency key, scoped by the profile of its caller.
type Key struct {
	Profile fleet.Profile
	Text    string
}

// Validate returns ErrKey if the key is empty or too long.
func (k Key) Validate() error {
	if k.Text == "" || len(k.Text) > maxKeyBytes {
		return fmt.Errorf("%w: want 1 to %d bytes, have %d", ErrKey, maxKeyBytes, len(k.Text))
	}
	return nil
}

// Prefix is the key prefix of all claims in the store.
const Prefix = "once/"

// MinShards is the minimum number of shards of a partition.
const MinShards = 256

// Path returns the store key of the claim in the initial partition. Two different keys never
// share a path.
func (k Key) Path() string {
	return Partition{Shards: MinShards}.Path(k)
}

// Expired reports whether a key that contains its creation time (UUID version 7) is older
// than the resend window, so that its record may be deleted already.
func (k Key) Expired(now time.Time, window time.Duration) bool {
	id, err := uuid.Parse(k.Text)
	if err != nil || id.Version() != 7 {
		return false
	}
	seconds, nanos := id.Time().UnixTime()
	return now.Sub(time.Unix(seconds, nanos)) > window
}

// Request is one attempt to run the request that a key identifies.
type Request struct {
	ID      string
	Attempt string
	// Fingerprint is the hash of method, path and body.
	Fingerprint uint64
	// Holder is the claiming instance and its incarnation.
	Holder string
	// Deadline is the request's deadline.
	Deadline time.Time
}

// Header is one header field of an answer.
type Header struct {
	Name  string `cbor:"1,keyasint"`
	Value string `cbor:"2,keyasint"`
}

// Answer is the response of the endpoint.
type Answer struct {
	Status  int      `cbor:"1,keyasint"`
	Headers []Header `cbor:"2,keyasint,omitempty"`
	Body    []byte   `cbor:"3,keyasint,omitempty"`
	// BodyDropped is set if the body was larger than MaxAnswerBytes and is not stored.
	BodyDropped bool `cbor:"4,keyasint,omitempty"`
}

// Trim returns the answer as it is stored, without a body that is too large.
func (a Answer) Trim() Answer {
	if len(a.Body) <= MaxAnswerBytes {
		return a
	}
	a.Body, a.BodyDropped = nil, true
	return a
}

// State is the state of a claim.
type State string

// The states of a claim.
const (
	// StateRunning: the holder may have sent the request to an endpoint.
	StateRunning State = "running"
	// StateFinished: the request ran and its end was observed.
	StateFinished State = "finished"
	// StateReleased: the holder released the claim before it sent anything to an endpoint.
	StateReleased State = "released"
)

// Record is a stored claim.
type Record struct {
	// Claim is a unique ID for each attempt to claim the key.
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

// New returns the record of a new claim.
func New(claim string, now time.Time, r Request) Record {
	return Record{
		Claim: claim, State: StateRunning, Fingerprint: r.Fingerprint,
		Request: r.ID, Attempt: r.Attempt, Holder: r.Holder, Claimed: now, Deadline: r.Deadline,
	}
}

// Finish returns the record as finished, with the answer.
func (r Record) Finish(a Answer) Record {
	kept := a.Trim()
	r.State, r.Answer = StateFinished, &kept
	return r
}

// Release returns the record as released by its holder.
func (r Record) Release() Record {
	r.State = StateReleased
	return r
}

// Encode returns the stored form of the record.
func (r Record) Encode() ([]byte, error) {
	raw, err := cbor.Marshal(r)
	if err != nil {
		return nil, fmt.Errorf("encode claim %s: %w", r.Claim, err)
	}
	return raw, nil
}

// Decode decodes a stored record.
func Decode(raw []byte) (Record, error) {
	var r Record
	if err := cbor.Unmarshal(raw, &r); err != nil {
		return Record{}, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	return r, nil
}
