package load

import (
	"fmt"
	"io"
	"time"
)

const rowFormat = "%-9s %-9s %-20s %-8s %-11s %-11s %-18s %9s %5s  %s\n"

// WriteHead writes the head of a table of samples.
func WriteHead(w io.Writer) {
	_, _ = fmt.Fprintf(w, rowFormat, "RANK", "PROFILE", "TARGET", "OUTCOME", "INSTANCE", "DISPATCHER", "ENDPOINT", "FIRST MS", "WHOLE", "REQUEST")
}

// WriteSample writes a sample as one row.
func WriteSample(w io.Writer, s Sample) {
	whole := "yes"
	if !s.Whole {
		whole = "no"
	}
	_, _ = fmt.Fprintf(w, rowFormat, s.Rank, s.Profile, s.Target, s.Outcome, dash(s.Instance), dash(s.Dispatcher), dash(s.Endpoint),
		milliseconds(s.First), whole, s.Request)
	if s.Code != "" {
		_, _ = fmt.Fprintf(w, "    %s: %s\n", s.Code, s.Message)
	}
}

// CountWhole returns how many answers were whole.
func CountWhole(samples []Sample) int {
	whole := 0
	for _, s := range samples {
		if s.Whole {
			whole++
		}
	}
	return whole
}

func dash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}

func milliseconds(d time.Duration) string {
	if d == 0 {
		return "-"
	}
	return fmt.Sprintf("%.2f", float64(d)/float64(time.Millisecond))
}
