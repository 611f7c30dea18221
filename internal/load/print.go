package load

import (
	"fmt"
	"io"
	"time"
)

const rowFormat = "%-9s %-9s %-20s %-8s %-11s %-11s %-18s %9s %5s  %s\n"

// WriteHeader writes the header row of a table of samples.
func WriteHeader(w io.Writer) {
	_, _ = fmt.Fprintf(w, rowFormat, "RANK", "PROFILE", "TARGET", "OUTCOME", "INSTANCE", "DISPATCHER", "ENDPOINT", "FIRST MS", "WHOLE", "REQUEST")
}

// WriteSample writes a sample as one row, followed by its error if there is one.
func WriteSample(w io.Writer, s Sample) {
	complete := "yes"
	if !s.Complete {
		complete = "no"
	}
	_, _ = fmt.Fprintf(w, rowFormat, s.Rank, s.Profile, s.Target, s.Outcome, orDash(s.Instance), orDash(s.Dispatcher), orDash(s.Endpoint),
		formatMilliseconds(s.FirstToken), complete, s.Request)
	if s.Code != "" {
		_, _ = fmt.Fprintf(w, "    %s: %s\n", s.Code, s.Message)
	}
}

// CountComplete returns the number of complete answers.
func CountComplete(samples []Sample) int {
	complete := 0
	for _, s := range samples {
		if s.Complete {
			complete++
		}
	}
	return complete
}

func orDash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}

func formatMilliseconds(d time.Duration) string {
	if d == 0 {
		return "-"
	}
	return fmt.Sprintf("%.2f", float64(d)/float64(time.Millisecond))
}
