package load

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/chiveramp/chiveramp/pkg/client"
	"github.com/chiveramp/chiveramp/pkg/profile"
)

// group aggregates the samples of one rank, stage or plot interval.
type group struct {
	sent, complete, refused, unknown, dropped int
	onTarget, withTarget                      int                     // requests whose profile has a latency target
	firstToken                                *hdrhistogram.Histogram // microseconds
}

func newGroup() *group {
	return &group{firstToken: hdrhistogram.New(1, histogramMax, histogramDigits)}
}

// add records one sample. With a target of zero it does not count towards the
// attainment.
func (g *group) add(s Sample, target time.Duration) {
	g.sent++
	switch {
	case s.Complete:
		g.complete++
		_ = g.firstToken.RecordValue(max(1, min(histogramMax, s.FirstToken.Microseconds())))
	case s.Code == CodeDropped:
		g.dropped++
		return // dropped at the load generator's own limit, not by the system
	case s.Outcome == client.OutcomeNotRun:
		g.refused++
	case s.Outcome == client.OutcomeUnknown:
		g.unknown++
	}
	if target > 0 {
		g.withTarget++
		if s.Complete && s.FirstToken <= target {
			g.onTarget++
		}
	}
}

func (g *group) attainment() string {
	if g.withTarget == 0 {
		return "-"
	}
	return fmt.Sprintf("%.1f%%", 100*float64(g.onTarget)/float64(g.withTarget))
}

func (g *group) quantile(q float64) string {
	if g.complete == 0 {
		return "-"
	}
	return formatMilliseconds(time.Duration(g.firstToken.ValueAtQuantile(q)) * time.Microsecond)
}

// failure is the error code and outcome by which failed samples are counted.
type failure struct {
	name    string
	outcome client.Outcome
}

const reportFormat = "%-14s %8s %8s %8s %8s %8s %10s %9s %9s %9s\n"

// WriteReport writes the samples aggregated by rank and by stage, followed by the
// error counts.
func WriteReport(w io.Writer, samples []Sample, document profile.Document) {
	target := func(s Sample) time.Duration {
		p, _ := document.Profile(s.Profile)
		return p.First
	}
	writeGroups(w, "RANK", samples, target, func(s Sample) string { return string(s.Rank) })
	_, _ = fmt.Fprintln(w)
	writeGroups(w, "STAGE", samples, target, func(s Sample) string { return s.Stage })
	writeFailures(w, samples)
}

func writeGroups(w io.Writer, title string, samples []Sample, target func(Sample) time.Duration, groupBy func(Sample) string) {
	groups := map[string]*group{}
	var names []string
	for _, s := range samples {
		name := groupBy(s)
		if groups[name] == nil {
			groups[name] = newGroup()
			names = append(names, name)
		}
		groups[name].add(s, target(s))
	}
	slices.SortFunc(names, byRank)
	_, _ = fmt.Fprintf(w, reportFormat, title, "SENT", "WHOLE", "REFUSED", "UNKNOWN", "DROPPED", "ATTAINMENT", "P50 MS", "P90 MS", "P99 MS")
	for _, name := range names {
		g := groups[name]
		_, _ = fmt.Fprintf(w, reportFormat, name, formatCount(g.sent), formatCount(g.complete), formatCount(g.refused), formatCount(g.unknown), formatCount(g.dropped),
			g.attainment(), g.quantile(50), g.quantile(90), g.quantile(99))
	}
}

// byRank compares names: ranks in order of urgency, other names alphabetically.
func byRank(a, b string) int {
	ranks := []string{string(profile.RankUrgent), string(profile.RankStandard), string(profile.RankBulk)}
	return cmp.Or(cmp.Compare(slices.Index(ranks, a), slices.Index(ranks, b)), cmp.Compare(a, b))
}

func formatCount(n int) string { return fmt.Sprint(n) }

func writeFailures(w io.Writer, samples []Sample) {
	counts := map[failure]int{}
	for _, s := range samples {
		if !s.Complete {
			counts[failure{name: s.Code, outcome: s.Outcome}]++
		}
	}
	if len(counts) == 0 {
		return
	}
	keys := make([]failure, 0, len(counts))
	for key := range counts {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, func(a, b failure) int {
		return cmp.Or(counts[b]-counts[a], cmp.Compare(a.name, b.name), cmp.Compare(a.outcome, b.outcome))
	})
	_, _ = fmt.Fprintf(w, "\n%-24s %-8s %8s\n", "ERROR", "OUTCOME", "COUNT")
	for _, key := range keys {
		_, _ = fmt.Fprintf(w, "%-24s %-8s %8d\n", key.name, key.outcome, counts[key])
	}
}
