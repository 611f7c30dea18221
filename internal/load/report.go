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

// group is what was seen of samples that belong together.
type group struct {
	sent, whole, refused, unknown, dropped int
	within, aimed                          int // of those with a target
	first                                  *hdrhistogram.Histogram
}

func newGroup() *group {
	return &group{first: hdrhistogram.New(1, histogramMost, histogramDigits)}
}

// add counts one sample. Without a target it counts as neither met nor missed.
func (g *group) add(s Sample, target time.Duration) {
	g.sent++
	switch {
	case s.Whole:
		g.whole++
		_ = g.first.RecordValue(max(1, min(histogramMost, s.First.Microseconds())))
	case s.Code == CodeDropped:
		g.dropped++
		return // the load tool's own limit says nothing of the system
	case s.Outcome == client.OutcomeNotRun:
		g.refused++
	case s.Outcome == client.OutcomeUnknown:
		g.unknown++
	}
	if target > 0 {
		g.aimed++
		if s.Whole && s.First <= target {
			g.within++
		}
	}
}

func (g *group) attainment() string {
	if g.aimed == 0 {
		return "-"
	}
	return fmt.Sprintf("%.1f%%", 100*float64(g.within)/float64(g.aimed))
}

func (g *group) quantile(q float64) string {
	if g.whole == 0 {
		return "-"
	}
	return milliseconds(time.Duration(g.first.ValueAtQuantile(q)) * time.Microsecond)
}

// code is a kind of failure.
type code struct {
	name    string
	outcome client.Outcome
}

const reportFormat = "%-14s %8s %8s %8s %8s %8s %10s %9s %9s %9s\n"

// WriteReport writes what callers saw by rank and by stage, and the errors.
func WriteReport(w io.Writer, samples []Sample, document profile.Document) {
	target := func(s Sample) time.Duration {
		p, _ := document.Profile(s.Profile)
		return p.First
	}
	writeGroups(w, "RANK", samples, target, func(s Sample) string { return string(s.Rank) })
	_, _ = fmt.Fprintln(w)
	writeGroups(w, "STAGE", samples, target, func(s Sample) string { return s.Stage })
	writeCodes(w, samples)
}

func writeGroups(w io.Writer, title string, samples []Sample, target func(Sample) time.Duration, by func(Sample) string) {
	groups := map[string]*group{}
	var names []string
	for _, s := range samples {
		name := by(s)
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
		_, _ = fmt.Fprintf(w, reportFormat, name, count(g.sent), count(g.whole), count(g.refused), count(g.unknown), count(g.dropped),
			g.attainment(), g.quantile(50), g.quantile(90), g.quantile(99))
	}
}

// byRank puts the most urgent rank first, and other names in order.
func byRank(a, b string) int {
	ranks := []string{string(profile.RankUrgent), string(profile.RankStandard), string(profile.RankBulk)}
	return cmp.Or(cmp.Compare(slices.Index(ranks, a), slices.Index(ranks, b)), cmp.Compare(a, b))
}

func count(n int) string { return fmt.Sprint(n) }

func writeCodes(w io.Writer, samples []Sample) {
	codes := map[code]int{}
	for _, s := range samples {
		if !s.Whole {
			codes[code{name: s.Code, outcome: s.Outcome}]++
		}
	}
	if len(codes) == 0 {
		return
	}
	keys := make([]code, 0, len(codes))
	for key := range codes {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, func(a, b code) int {
		return cmp.Or(codes[b]-codes[a], cmp.Compare(a.name, b.name), cmp.Compare(a.outcome, b.outcome))
	})
	_, _ = fmt.Fprintf(w, "\n%-24s %-8s %8s\n", "ERROR", "OUTCOME", "COUNT")
	for _, key := range keys {
		_, _ = fmt.Fprintf(w, "%-24s %-8s %8d\n", key.name, key.outcome, codes[key])
	}
}
