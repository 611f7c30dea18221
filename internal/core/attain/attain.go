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
	// halfSpan is how long one of the two parts of the window lasts.
	halfSpan = 150 * time.Second
	// maxFirstTokenMillis is the longest time to the first token that is told apart, milliseconds.
	maxFirstTokenMillis = 60_000
	// histogramDigits are the decimal digits to which times are kept.
	histogramDigits = 2
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

// EndedRequest is one request that has ended.
type EndedRequest struct {
	Profile fleet.Profile
	Rank    fleet.Rank
	Kind    Kind
	// Code names why a request was refused or failed.
	Code string
	// FirstToken is the time to the first token, zero when none came.
	FirstToken time.Duration
}

// Cause is how often requests were refused or failed for one reason.
type Cause struct {
	Code  string
	Count int64
}

// ProfileStats is what became of the requests of one profile.
type ProfileStats struct {
	Profile  fleet.Profile
	Rank     fleet.Rank
	Requests int64
	Met      int64
	Refused  int64
	Failed   int64
	// Causes are in order of their codes.
	Causes []Cause

	firstToken *hdrhistogram.Histogram
}

// FirstTokenP95 returns the time to the first token that 95 in 100 requests kept to, zero
// when no token came.
func (s *ProfileStats) FirstTokenP95() time.Duration {
	if s.firstToken == nil {
		return 0
	}
	return time.Duration(s.firstToken.ValueAtQuantile(95)) * time.Millisecond
}

// MainCause returns the most frequent reason of refusals and failures, empty without any.
func (s *ProfileStats) MainCause() string {
	main := Cause{}
	for _, c := range s.Causes {
		if c.Count > main.Count {
			main = c
		}
	}
	return main.Code
}

// EncodeTimes returns the times to the first token in the form that Restore reads, nil
// without any.
func (s *ProfileStats) EncodeTimes() ([]byte, error) {
	if s.firstToken == nil {
		return nil, nil
	}
	raw, err := s.firstToken.Encode(hdrhistogram.V2CompressedEncodingCookieBase)
	if err != nil {
		return nil, fmt.Errorf("encode times of profile %s: %w", s.Profile, err)
	}
	return raw, nil
}

// DecodeTimes sets the times to the first token as another instance told them.
func (s *ProfileStats) DecodeTimes(times []byte) error {
	if len(times) == 0 {
		return nil
	}
	histogram, err := hdrhistogram.Decode(times)
	if err != nil {
		return fmt.Errorf("decode times of profile %s: %w", s.Profile, err)
	}
	s.firstToken = histogram
	return nil
}

func (s *ProfileStats) record(e EndedRequest) {
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
		s.addCause(Cause{Code: e.Code, Count: 1})
	}
	if e.FirstToken > 0 {
		s.histogram().RecordValue(min(ceilMillis(e.FirstToken), maxFirstTokenMillis)) //nolint:errcheck // within the bounds
	}
}

// ceilMillis rounds up, so that a time that was seen never shows as none.
func ceilMillis(d time.Duration) int64 {
	return int64((d + time.Millisecond - 1) / time.Millisecond)
}

func (s *ProfileStats) histogram() *hdrhistogram.Histogram {
	if s.firstToken == nil {
		s.firstToken = hdrhistogram.New(1, maxFirstTokenMillis, histogramDigits)
	}
	return s.firstToken
}

func (s *ProfileStats) addCause(c Cause) {
	i, found := slices.BinarySearchFunc(s.Causes, c.Code, func(a Cause, code string) int { return cmp.Compare(a.Code, code) })
	if !found {
		s.Causes = slices.Insert(s.Causes, i, c)
		return
	}
	s.Causes[i].Count += c.Count
}

func (s *ProfileStats) add(other ProfileStats) {
	s.Requests += other.Requests
	s.Met += other.Met
	s.Refused += other.Refused
	s.Failed += other.Failed
	for _, c := range other.Causes {
		s.addCause(c)
	}
	if other.firstToken != nil {
		s.histogram().Merge(other.firstToken)
	}
}

// Add returns the sums of several lists, one for each profile, by name. The lists are
// left as they are.
func Add(lists ...[]ProfileStats) []ProfileStats {
	byProfile := make(map[fleet.Profile]*ProfileStats)
	for _, list := range lists {
		for _, s := range list {
			total, ok := byProfile[s.Profile]
			if !ok {
				total = &ProfileStats{Profile: s.Profile, Rank: s.Rank}
				byProfile[s.Profile] = total
			}
			total.add(s)
		}
	}
	stats := make([]ProfileStats, 0, len(byProfile))
	for _, total := range byProfile {
		stats = append(stats, *total)
	}
	slices.SortFunc(stats, func(a, b ProfileStats) int { return cmp.Compare(a.Profile, b.Profile) })
	return stats
}
