package measure

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"gonum.org/v1/gonum/stat"

	"github.com/chiveramp/chiveramp/internal/core/fleet"
)

// Report prints one table per scene. The ratio column compares each policy with
// the first one of the scene.
func Report(w io.Writer, cells []Cell) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	scene := ""
	var first *Cell
	for i := range cells {
		c := &cells[i]
		if title := c.Deployment + ": " + c.Scene; title != scene {
			scene, first = title, c
			if err := printHeading(table, w, c); err != nil {
				return err
			}
		}
		if err := printRow(table, c, first); err != nil {
			return err
		}
	}
	return flush(table)
}

func flush(table *tabwriter.Writer) error {
	if err := table.Flush(); err != nil {
		return fmt.Errorf("print report: %w", err)
	}
	return nil
}

// columns are the headings of a table. Rates are percentages, for the ranks urgent,
// standard and bulk in this order; worth and answers are per accelerator minute. Wrong
// counts wrong refusals, deaths engine crashes, and stopped preempted bulk streams.
const columns = "policy\tworth\tspread\tratio\tof bound\tanswers\t" +
	"urgent\tstandard\tbulk\tin flood\tothers\tlate/slow/refused urgent\tmoves\trefusals\twrong\tdeaths\tlink MB\tstopped\t\n"

func printHeading(table *tabwriter.Writer, w io.Writer, c *Cell) error {
	if err := flush(table); err != nil {
		return err
	}
	bound := c.mean(func(r *Result) float64 { return r.Bound })
	title := fmt.Sprintf("%s: %s (%d seeds, bound %.0f", c.Deployment, c.Scene, len(c.Results), bound)
	if store := c.mean(func(r *Result) float64 { return r.StoreBound }); store < bound {
		title += fmt.Sprintf(", by the weight store %.0f", store)
	}
	if _, err := fmt.Fprintf(w, "\n%s)\n", title); err != nil {
		return fmt.Errorf("print heading: %w", err)
	}
	if _, err := fmt.Fprint(table, columns); err != nil {
		return fmt.Errorf("print columns: %w", err)
	}
	return nil
}

func printRow(table *tabwriter.Writer, c, first *Cell) error {
	worth := c.mean(func(r *Result) float64 { return r.Worth })
	bound := c.mean(func(r *Result) float64 { return r.Bound })
	base := first.mean(func(r *Result) float64 { return r.Worth })
	fields := []string{
		c.Policy,
		fmt.Sprintf("%.0f", worth),
		c.spread(func(r *Result) float64 { return r.Worth }),
		fmt.Sprintf("%.2f", base/max(worth, 1e-9)),
		fmt.Sprintf("%.0f%%", 100*worth/max(bound, 1e-9)),
		fmt.Sprintf("%.1f", c.mean(func(r *Result) float64 { return r.Answers })),
		c.rankRate(fleet.RankUrgent), c.rankRate(fleet.RankStandard), c.rankRate(fleet.RankBulk),
		c.floodRates(), c.othersRate(), c.missReasons(),
		c.meanCount(func(r *Result) float64 { return float64(r.Moves) }),
		c.meanCount(func(r *Result) float64 { return float64(r.Refusals) }),
		c.meanCount(func(r *Result) float64 { return float64(r.WrongRefusals) }),
		c.meanCount(func(r *Result) float64 { return float64(r.Crashes) }),
		c.meanCount(func(r *Result) float64 { return r.LinkBytes / 1e6 }),
		c.meanCount(func(r *Result) float64 { return float64(r.Preempted) }),
	}
	if _, err := fmt.Fprintln(table, strings.Join(fields, "\t")+"\t"); err != nil {
		return fmt.Errorf("print row: %w", err)
	}
	return nil
}

func (c *Cell) values(of func(*Result) float64) []float64 {
	out := make([]float64, len(c.Results))
	for i := range c.Results {
		out[i] = of(&c.Results[i])
	}
	return out
}

func (c *Cell) mean(of func(*Result) float64) float64 {
	return stat.Mean(c.values(of), nil)
}

func (c *Cell) meanCount(of func(*Result) float64) string {
	return fmt.Sprintf("%.0f", c.mean(of))
}

// spread returns the lowest and the highest value over the seeds.
func (c *Cell) spread(of func(*Result) float64) string {
	values := c.values(of)
	lowest, highest := values[0], values[0]
	for _, v := range values {
		lowest, highest = min(lowest, v), max(highest, v)
	}
	return fmt.Sprintf("%.0f-%.0f", lowest, highest)
}

// rankRate returns the mean attainment of a rank and its minimum over the seeds.
func (c *Cell) rankRate(r fleet.Rank) string {
	values := c.values(func(res *Result) float64 { return res.Ranks[r.Level()].Rate() })
	lowest := values[0]
	for _, v := range values {
		lowest = min(lowest, v)
	}
	return fmt.Sprintf("%.1f (%.1f)", 100*stat.Mean(values, nil), 100*lowest)
}

// floodRates returns the attainment of each rank during the flood.
func (c *Cell) floodRates() string {
	if c.Results[0].Flood[0].Total == 0 {
		return "-"
	}
	var parts []string
	for level := range c.Results[0].Flood {
		rate := c.mean(func(r *Result) float64 { return r.Flood[level].Rate() })
		parts = append(parts, fmt.Sprintf("%.1f", 100*rate))
	}
	return strings.Join(parts, "/")
}

// othersRate returns the attainment of the flooded rank without the profile that floods it.
func (c *Cell) othersRate() string {
	if c.Results[0].Others.Total == 0 {
		return "-"
	}
	return fmt.Sprintf("%.1f", 100*c.mean(func(r *Result) float64 { return r.Others.Rate() }))
}

// missReasons returns the percentages of urgent requests that were late, slow and refused.
func (c *Cell) missReasons() string {
	percent := func(of func(*Tally) int) float64 {
		return 100 * c.mean(func(r *Result) float64 {
			t := &r.Ranks[0]
			return float64(of(t)) / float64(max(t.Total, 1))
		})
	}
	return fmt.Sprintf("%.1f/%.1f/%.1f",
		percent(func(t *Tally) int { return t.Late }),
		percent(func(t *Tally) int { return t.Slow }),
		percent(func(t *Tally) int { return t.Refused }))
}
