package tally

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
	"time"
)

// maxRows limits the workspaces and models that are printed.
const maxRows = 12

// Group counts requests that have something in common.
type Group struct {
	Name                       string
	Requests, Served, Refused  int
	RefusedBesideIdle, Retries int
	firsts                     []time.Duration
}

// First returns a quantile of the times to the first byte.
func (g *Group) First(quantile float64) time.Duration {
	if len(g.firsts) == 0 {
		return 0
	}
	slices.Sort(g.firsts)
	return g.firsts[int(quantile*float64(len(g.firsts)-1))]
}

func (g *Group) add(r *Request, besideIdle bool) {
	g.Requests++
	g.Retries += max(0, r.Tries-1)
	switch {
	case r.Status/100 == 2:
		g.Served++
		g.firsts = append(g.firsts, r.First)
	case r.Refused():
		g.Refused++
	}
	if besideIdle {
		g.RefusedBesideIdle++
	}
}

// Report holds the counts of all requests.
type Report struct {
	All                        Group
	Routes, Workspaces, Models []*Group // those with most requests first
	Reasons                    []*Group // of the refused requests
	Seconds                    []*Group // by arrival
	Spreads                    []Spread // by second
}

// Count counts requests that are sorted by arrival.
func Count(requests []Request) *Report {
	report := &Report{All: Group{Name: "all"}}
	if len(requests) == 0 {
		return report
	}
	f := newFleet(requests)
	begin := requests[0].Arrived().Truncate(time.Second)
	routes, workspaces, models, reasons := make(groups), make(groups), make(groups), make(groups)
	for i := range requests {
		r := &requests[i]
		besideIdle := r.Refused() && r.Model != "" && f.idleCopy(r.Model, r.Ended)
		second := int(r.Arrived().Sub(begin) / time.Second)
		for len(report.Seconds) <= second {
			report.Seconds = append(report.Seconds, &Group{Name: fmt.Sprint(len(report.Seconds))})
		}
		counted := []*Group{&report.All, report.Seconds[second], routes.get(r.Route), workspaces.get(r.Workspace), models.get(r.Model)}
		if r.Refused() {
			counted = append(counted, reasons.get(r.Reason()))
		}
		for _, g := range counted {
			g.add(r, besideIdle)
		}
	}
	for second := range report.Seconds {
		report.Spreads = append(report.Spreads, f.spread(begin.Add(time.Duration(second)*time.Second)))
	}
	report.Routes, report.Workspaces, report.Models, report.Reasons = routes.sorted(), workspaces.sorted(), models.sorted(), reasons.sorted()
	return report
}

type groups map[string]*Group

func (g groups) get(name string) *Group {
	if g[name] == nil {
		g[name] = &Group{Name: cmp.Or(name, "none")}
	}
	return g[name]
}

func (g groups) sorted() []*Group {
	return slices.SortedFunc(maps.Values(g), func(a, b *Group) int {
		return cmp.Or(cmp.Compare(b.Requests, a.Requests), cmp.Compare(a.Name, b.Name))
	})
}

// Print writes the report as tables.
func (r *Report) Print(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	section := func(title string, all []*Group) {
		_, _ = fmt.Fprintf(w, "%s\trequests\tserved\trefused\tbeside idle\tretries\tfirst p50\tp99\t\n", title)
		for _, g := range all {
			_, _ = fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%v\t%v\t\n", g.Name, g.Requests, g.Served, g.Refused, g.RefusedBesideIdle, g.Retries,
				g.First(0.5).Round(time.Millisecond), g.First(0.99).Round(time.Millisecond))
		}
		_, _ = fmt.Fprintln(w)
	}
	section("total", []*Group{&r.All})
	section("route", r.Routes)
	section("refused for", r.Reasons)
	section("workspace", r.Workspaces[:min(len(r.Workspaces), maxRows)])
	section("model", r.Models[:min(len(r.Models), maxRows)])
	section("second", r.Seconds)
	_, _ = fmt.Fprintln(w, "second\tsamples with a crowded endpoint\tidle endpoints beside it\tmost prompts\t")
	for second, s := range r.Spreads {
		_, _ = fmt.Fprintf(w, "%d\t%d\t%.2f\t%d\t\n", second, s.Crowded, s.Idle, s.Fullest)
	}
	if err := w.Flush(); err != nil {
		return fmt.Errorf("print report: %w", err)
	}
	return nil
}
