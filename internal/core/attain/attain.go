// Package attain counts how the recent requests of each profile ended, in a form that
// can be merged across instances. It uses no clock: callers pass the time.
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
	// halfSpan is the length of each half of the window.
	halfSpan = 150 * time.Second
	// maxFirstTokenMillis is the largest time to first token that the histogram
	// resolves, in milliseconds; longer times count as this one.
	maxFirstTokenMillis = 60_000
	// histogramDigits is the number of significant decimal digits of recorded times.
	histogramDigits = 2
)

// Kind says how a request ended.
type Kind string

// The ways in which a request ends.
const (
	// KindMet requests were answered completely and within their targets.
	KindMet Kind = "met"
	// KindLate requests were answered completely, but not within their targets.
	KindLate Kind = "late"
	// KindRefused requests were not run.
	KindRefused Kind = "refused"
	// KindFailed requests have no complete answer.
	KindFailed Kind = "failed"
)

// EndedRequest describes a request that has ended.
type EndedRequest struct {
	Profile fleet.Profile
	Rank    fleet.Rank
	Kind    Kind
	// Code is the reason for a refusal or failure.
	Code string
	// FirstToken is the time to the first token, zero when none was received.
	FirstToken time.Duration
}

// Cause counts the requests that were refused or failed for one reason.
type Cause struct {
	Code  string
	Count int64
}

// ProfileStats counts the requests of one profile by how they ended.
type ProfileStats struct {
	Profile  fleet.Profile
	Rank     fleet.Rank
	Requests int64
	Met      int64
	Refused  int64
	Failed   int64
	// Causes are sorted by code.
	Causes []Cause

	firstToken *hdrhistogram.Histogram
}

// FirstTokenP95 returns the 95th percentile of the time to first token, zero when no
// token was received.
func (s *ProfileStats) FirstTokenP95() time.Duration {
	if s.firstToken == nil {
		return 0
	}
	return time.Duration(s.firstToken.ValueAtQuantile(95)) * time.Millisecond
}

// MainCause returns the most frequent code of refusals and failures, empty without any.
func (s *ProfileStats) MainCause() string {
	main := Cause{}
	for _, c := range s.Causes {
		if c.Count > main.Count {
			main = c
		}
	}
	return main.Code
}

// EncodeTimes encodes the histogram of the times to first token for DecodeTimes, nil
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

// DecodeTimes sets the times to first token from the encoding that another instance sent.
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

// ceilMillis rounds up, so that a measured time never becomes zero, which means none.
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

// Add merges several lists into one entry per profile, sorted by profile name. The lists
// are not modified.
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
