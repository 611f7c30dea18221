package telemetry

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"

	"github.com/rcrowley/go-metrics"
)

// contentType is the content type of the Prometheus text exposition format.
const contentType = "text/plain; version=0.0.4; charset=utf-8"

// quantiles are the quantiles written for histograms and timers.
var quantiles = []float64{0.5, 0.95, 0.99}

// MetricsHandler returns a handler that writes the registry in the Prometheus text
// format. A metric's name may contain labels: "requests;rank=urgent;profile=chat".
func MetricsHandler(r metrics.Registry) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", contentType)
		_ = WriteMetrics(w, r)
	})
}

// WriteMetrics writes the registry's metrics in the Prometheus text format, sorted by name.
func WriteMetrics(w io.Writer, r metrics.Registry) error {
	all := make(map[string]any)
	r.Each(func(name string, m any) { all[name] = m })
	names := make([]string, 0, len(all))
	for name := range all {
		names = append(names, name)
	}
	slices.Sort(names)
	b := bufio.NewWriter(w)
	p := printer{w: b}
	for _, name := range names {
		p.metric(name, all[name])
	}
	return b.Flush()
}

// printer writes samples with one TYPE line for each metric family.
type printer struct {
	w      io.Writer
	family string
}

func (p *printer) metric(name string, m any) {
	family, labels := parseName(name)
	switch m := m.(type) {
	case metrics.Counter:
		p.sample(family, "counter", labels, float64(m.Count()))
	case metrics.Gauge:
		p.sample(family, "gauge", labels, float64(m.Value()))
	case metrics.GaugeFloat64:
		p.sample(family, "gauge", labels, m.Value())
	case metrics.Meter:
		p.sample(family, "counter", labels, float64(m.Snapshot().Count()))
	case metrics.Histogram:
		s := m.Snapshot()
		p.summary(family, labels, s.Percentiles(quantiles), s.Sum(), s.Count())
	case metrics.Timer:
		s := m.Snapshot()
		p.summary(family, labels, s.Percentiles(quantiles), s.Sum(), s.Count())
	}
}

func (p *printer) sample(family, kind string, labels []string, value float64) {
	p.typeLine(family, kind)
	p.line(family, labels, value)
}

func (p *printer) summary(family string, labels []string, values []float64, sum, count int64) {
	p.typeLine(family, "summary")
	for i, q := range quantiles {
		p.line(family, append(slices.Clone(labels), fmt.Sprintf("quantile=%q", fmt.Sprint(q))), values[i])
	}
	p.line(family+"_sum", labels, float64(sum))
	p.line(family+"_count", labels, float64(count))
}

func (p *printer) typeLine(family, kind string) {
	if p.family == family {
		return
	}
	p.family = family
	_, _ = fmt.Fprintf(p.w, "# TYPE %s %s\n", family, kind)
}

func (p *printer) line(name string, labels []string, value float64) {
	text := ""
	if len(labels) > 0 {
		text = "{" + strings.Join(labels, ",") + "}"
	}
	_, _ = fmt.Fprintf(p.w, "%s%s %g\n", name, text, value)
}

// parseName splits "name;label=value" into a metric family and its formatted labels.
func parseName(name string) (family string, labels []string) {
	parts := strings.Split(name, ";")
	for _, part := range parts[1:] {
		label, value, _ := strings.Cut(part, "=")
		labels = append(labels, fmt.Sprintf("%s=%q", sanitizeName(label), value))
	}
	return "chiveramp_" + sanitizeName(parts[0]), labels
}

func sanitizeName(name string) string {
	return strings.Map(func(r rune) rune {
		if r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' || r == '_' {
			return r
		}
		return '_'
	}, name)
}
