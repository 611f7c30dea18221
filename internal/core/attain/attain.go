// Package attain counts how the requests of each profile ended lately, so that what
// several instances counted can be added up. It has no clock: the time is passed in.
package attain

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/chiveramp/chiveramp/internal/core/fleet"
)

const (
	// half is how long one of the two parts of the window lasts.
	half = 150 * time.Second
	// firstMost is the longest time to the first token that is told apart, milliseconds.
	firstMost = 60_000
	// firstDigits are the decimal digits to which times are kept.
	firstDigits = 2
)

// Kind says how a request ended.
type Kind string

// The kinds of end.
const (
	// KindMet requests were answered whole and within their targets.
	KindMet Kind = "met"
	// KindLate requests were answered whole, but not within their targets.
	KindLate Kind = "late"
	// KindRefused requests were not run.
	KindRefused Kind = "refused"
	// KindFailed requests have no whole answer.
	KindFailed Kind = "failed"
)

// Ended is one request that has ended.
type Ended struct {
	Profile fleet.Profile
	Rank    fleet.Rank
	Kind    Kind
	// Code names why a request was refused or failed.
	Code string
	// First is the time to the first token, zero when none came.
	First time.Duration
}

// Cause is how often requests were refused or failed for one reason.
type Cause struct {
	Code  string
	Count int64
}

// Sum is what became of the requests of one profile.
type Sum struct {
	Profile  fleet.Profile
	Rank     fleet.Rank
	Requests int64
	Met      int64
	Refused  int64
	Failed   int64
	// Causes are in order of their codes.
	Causes []Cause

	first *hdrhistogram.Histogram
}

// Slowest returns the time to the first token that 95 in 100 requests kept to, zero
// when no token came.
func (s *Sum) Slowest() time.Duration {
	if s.first == nil {
		return 0
	}
	return time.Duration(s.first.ValueAtQuantile(95)) * time.Millisecond
}

// Why returns the most frequent reason of refusals and failures, empty without any.
func (s *Sum) Why() string {
	why := Cause{}
	for _, c := range s.Causes {
		if c.Count > why.Count {
			why = c
		}
	}
	return why.Code
}

// Times returns the times to the first token in the form that Restore reads, nil
// without any.
func (s *Sum) Times() ([]byte, error) {
	if s.first == nil {
		return nil, nil
	}
	raw, err := s.first.Encode(hdrhistogram.V2CompressedEncodingCookieBase)
	if err != nil {
		return nil, fmt.Errorf("encode times of profile %s: %w", s.Profile, err)
	}
	return raw, nil
}

// Restore sets the times to the first token as another instance told them.
func (s *Sum) Restore(times []byte) error {
	if len(times) == 0 {
		return nil
	}
	first, err := hdrhistogram.Decode(times)
	if err != nil {
		return fmt.Errorf("decode times of profile %s: %w", s.Profile, err)
	}
	s.first = first
	return nil
}

func (s *Sum) note(e Ended) {
	s.Requests++
	switch e.Kind {
	case KindMet:
		s.Met++
	case KindRefused:
		s.Refused++
	case KindFailed:
		s.Failed++
	}
	if e.Code != "" {
		s.blame(Cause{Code: e.Code, Count: 1})
	}
	if e.First > 0 {
		s.times().RecordValue(min(milliseconds(e.First), firstMost)) //nolint:errcheck // within the bounds
	}
}

// milliseconds rounds up, so that a time that was seen never shows as none.
func milliseconds(d time.Duration) int64 {
	return int64((d + time.Millisecond - 1) / time.Millisecond)
}

func (s *Sum) times() *hdrhistogram.Histogram {
	if s.first == nil {
		s.first = hdrhistogram.New(1, firstMost, firstDigits)
	}
	return s.first
}

func (s *Sum) blame(c Cause) {
	i, found := slices.BinarySearchFunc(s.Causes, c.Code, func(a Cause, code string) int { return cmp.Compare(a.Code, code) })
	if !found {
		s.Causes = slices.Insert(s.Causes, i, c)
		return
	}
	s.Causes[i].Count += c.Count
}

func (s *Sum) add(other Sum) {
	s.Requests += other.Requests
	s.Met += other.Met
	s.Refused += other.Refused
	s.Failed += other.Failed
	for _, c := range other.Causes {
		s.blame(c)
	}
	if other.first != nil {
		s.times().Merge(other.first)
	}
}

// Add returns the sums of several lists, one for each profile, by name. The lists are
// left as they are.
func Add(lists ...[]Sum) []Sum {
	byProfile := make(map[fleet.Profile]*Sum)
	for _, list := range lists {
		for _, s := range list {
			total, ok := byProfile[s.Profile]
			if !ok {
				total = &Sum{Profile: s.Profile, Rank: s.Rank}
				byProfile[s.Profile] = total
			}
			total.add(s)
		}
	}
	sums := make([]Sum, 0, len(byProfile))
	for _, total := range byProfile {
		sums = append(sums, *total)
	}
	slices.SortFunc(sums, func(a, b Sum) int { return cmp.Compare(a.Profile, b.Profile) })
	return sums
}
