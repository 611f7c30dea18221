package command

import (
	"context"
	"io"
	"slices"
	"strconv"
	"strings"

	"github.com/urfave/cli/v3"

	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/operator"
)

func (p *program) profilesCommand() *cli.Command {
	return &cli.Command{
		Name:  "profiles",
		Usage: "show how each profile meets its targets, now",
		Description: `Shows the share of requests within target by profile and by rank, over all
instances and the last minutes, the most urgent rank first, and the most
frequent reason of refusals.

Example:
   chiveramp profiles`,
		Action: p.profiles,
	}
}

func (p *program) profiles(ctx context.Context, c *cli.Command) error {
	if err := requireNoArguments(c); err != nil {
		return err
	}
	reports, err := call(ctx, c, func(ctx context.Context, o *operator.Client) ([]operator.ProfileReport, error) {
		return o.Profiles(ctx)
	})
	if err != nil {
		return err
	}
	slices.SortFunc(reports, func(a, b operator.ProfileReport) int {
		if d := fleet.Rank(a.Rank).Level() - fleet.Rank(b.Rank).Level(); d != 0 {
			return d
		}
		return strings.Compare(a.Profile, b.Profile)
	})
	return p.print(c, reports, func(w io.Writer) { writeProfiles(w, reports) })
}

func writeProfiles(w io.Writer, reports []operator.ProfileReport) {
	if len(reports) == 0 {
		linef(w, "no request yet")
		return
	}
	var rows [][]string
	for _, r := range reports {
		rows = append(rows, []string{
			r.Profile, r.Rank, formatPercent(r.Attainment()), formatMilliseconds(r.TimeToFirstToken), formatTarget(r.Target),
			formatCount(r.Requests), formatCount(r.Refused), formatCount(r.Failed), orDash(r.Why),
		})
	}
	writeTable(w, "profiles, "+formatWindow(reports[0].Window), "PROFILE RANK ATTAINMENT FIRST TARGET REQUESTS REFUSED FAILED WHY", rows)
	writeTable(w, "ranks", "RANK ATTAINMENT REQUESTS REFUSED FAILED", rankRows(reports))
}

func rankRows(reports []operator.ProfileReport) [][]string {
	var rows [][]string
	for _, rank := range fleet.Ranks() {
		sum := operator.ProfileReport{}
		for _, r := range reports {
			if r.Rank != string(rank) {
				continue
			}
			sum.Requests += r.Requests
			sum.Met += r.Met
			sum.Refused += r.Refused
			sum.Failed += r.Failed
		}
		rows = append(rows, []string{string(rank), formatPercent(sum.Attainment()), formatCount(sum.Requests), formatCount(sum.Refused), formatCount(sum.Failed)})
	}
	return rows
}

func formatWindow(window int64) string {
	if window == 0 {
		return "since the start of the instance"
	}
	return "last " + formatMilliseconds(window)
}

func formatTarget(n int64) string {
	if n == 0 {
		return "-"
	}
	return formatMilliseconds(n)
}

func formatCount(n int64) string {
	return strconv.FormatInt(n, 10)
}
