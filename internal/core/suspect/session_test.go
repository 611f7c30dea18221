package suspect

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/chiveramp/chiveramp/internal/coretest"
)

// Two trackers, A and B, belong to two instances; the verb "tell" exchanges their updates.
func TestSessions(t *testing.T) {
	coretest.Run(t, "*.session", func() coretest.Handler {
		trackers := map[string]*Tracker{"A": New(WithExpiry(time.Minute)), "B": New(WithExpiry(time.Minute))}
		return func(now time.Time, e coretest.Event) []string { return handle(trackers, now, e) }
	})
}

func handle(trackers map[string]*Tracker, now time.Time, e coretest.Event) []string {
	if e.Verb == "tell" {
		a, b := trackers["A"].Updates(now, time.Time{}, 16), trackers["B"].Updates(now, time.Time{}, 16)
		return []string{fmt.Sprintf("news at B %t, at A %t", trackers["B"].Merge(now, a), trackers["A"].Merge(now, b))}
	}
	tracker := trackers[e.Field(0)]
	switch e.Verb {
	case "admit":
		return []string{string(tracker.Admit(now, fingerprint(e.Field(1)), fingerprints(e.Fields[2:])))}
	case "died":
		return describeSuspects(tracker.RecordCrashInferTrials(now, e.Field(1), fingerprints(e.Fields[2:])))
	case "finished":
		tracker.Finished(now, fingerprint(e.Field(1)))
		return nil
	default:
		return []string{"unknown verb " + e.Verb}
	}
}

func fingerprint(text string) Fingerprint {
	n, _ := strconv.ParseUint(text, 10, 64)
	return Fingerprint(n)
}

func fingerprints(texts []string) []Fingerprint {
	list := make([]Fingerprint, 0, len(texts))
	for _, text := range texts {
		list = append(list, fingerprint(text))
	}
	return list
}

func describeSuspects(list []Suspect) []string {
	lines := make([]string, 0, len(list))
	for _, s := range list {
		lines = append(lines, fmt.Sprintf("%d died on %s convicted %t", s.Fingerprint, strings.Join(s.Incarnations, ","), s.Poison))
	}
	return lines
}
