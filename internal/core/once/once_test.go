package once

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/coretest"
)

func TestMain(m *testing.M) {
	coretest.Main(m)
}

func TestEvaluate(t *testing.T) {
	now := coretest.Start
	request := Request{ID: "r2", Fingerprint: 7}
	mine := New("mine", now, Request{ID: "r2", Fingerprint: 7, Deadline: now.Add(time.Minute)})
	other := New("other", now, Request{ID: "r1", Fingerprint: 7, Deadline: now.Add(time.Minute)})
	foreign := New("other", now, Request{ID: "r1", Fingerprint: 8})
	tests := []struct {
		name    string
		at      time.Time
		stored  Record
		want    Kind
		outcome fleet.Outcome
		err     error
	}{
		{name: "own", at: now, stored: mine, want: KindGranted},
		{name: "own, released", at: now, stored: mine.Release(), want: KindFree},
		{name: "other's", at: now, stored: other, want: KindRunning, outcome: fleet.OutcomeUnknown},
		{name: "held by another, deadline long past", at: now.Add(time.Hour), stored: other, want: KindUnknown, outcome: fleet.OutcomeUnknown},
		{name: "held by another, years old", at: now.AddDate(5, 0, 0), stored: other, want: KindUnknown, outcome: fleet.OutcomeUnknown},
		{name: "finished", at: now, stored: other.Finish(Answer{Status: 200}), want: KindRecorded, outcome: fleet.OutcomeRan},
		{name: "released", at: now, stored: other.Release(), want: KindFree},
		{name: "different request body", at: now, stored: foreign, err: ErrReused},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got, err := Evaluate(tt.at, "mine", request, tt.stored)
			require.ErrorIs(t, err, tt.err)
			require.Equal(t, tt.want, got.Kind)
			require.Equal(t, tt.outcome, got.Outcome())
		})
	}
	require.Equal(t, fleet.OutcomeNotRun, Refused(time.Second).Outcome())
}

// Guards against two different keys with the same path, for instance if a key or a profile
// contains the separator.
func TestDifferentKeysHaveDifferentPaths(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := Key{Profile: fleet.Profile(rapid.String().Draw(t, "profile")), Text: rapid.String().Draw(t, "text")}
		b := Key{Profile: fleet.Profile(rapid.String().Draw(t, "profile")), Text: rapid.String().Draw(t, "text")}
		require.Equal(t, a == b, a.Path() == b.Path())
		require.Equal(t, 3, strings.Count(a.Path(), "/"))
	})
	require.NotEqual(t, Key{Profile: "a/b", Text: "c"}.Path(), Key{Profile: "a", Text: "b/c"}.Path())
}

func TestRecordEncodeDecode(t *testing.T) {
	record := New("c", coretest.Start, Request{ID: "r", Attempt: "a", Fingerprint: 7, Holder: "h", Deadline: coretest.Start.Add(time.Minute)}).
		Finish(Answer{Status: 201, Headers: []Header{{"Content-Type", "text/plain"}}, Body: []byte("kit sent")})
	raw, err := record.Encode()
	require.NoError(t, err)
	got, err := Decode(raw)
	require.NoError(t, err)
	require.Equal(t, record.Answer, got.Answer)
	require.True(t, record.Deadline.Equal(got.Deadline))
	_, err = Decode(bytes.Repeat([]byte{0xff}, 9))
	require.ErrorIs(t, err, ErrMalformed)
}

func TestKeyExpired(t *testing.T) {
	fresh, err := uuid.NewV7()
	require.NoError(t, err)
	tests := []struct {
		name string
		text string
		age  time.Duration
		want bool
	}{
		{name: "young", text: fresh.String(), age: time.Hour},
		{name: "old", text: fresh.String(), age: 25 * time.Hour, want: true},
		{name: "random", text: uuid.NewString(), age: 1000 * time.Hour},
		{name: "opaque", text: "order-1", age: 1000 * time.Hour},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			require.Equal(t, tt.want, Key{Text: tt.text}.Expired(time.Now().Add(tt.age), DefaultResendWindow))
		})
	}
}
