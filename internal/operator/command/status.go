package command

import (
	"context"
	"fmt"
	"io"
	"strconv"
	"strings"

	"github.com/urfave/cli/v3"

	"github.com/chiveramp/chiveramp/internal/inifile"
	"github.com/chiveramp/chiveramp/internal/operator"
)

func (p *program) statusCommand() *cli.Command {
	return &cli.Command{
		Name:  "status",
		Usage: "show instances, dispatchers, placers, models, endpoints and what is degraded",
		Description: `Shows the system as one instance has recorded it, degraded parts first.

Example:
   chiveramp status`,
		Action: p.status,
	}
}

func (p *program) status(ctx context.Context, c *cli.Command) error {
	if err := requireNoArguments(c); err != nil {
		return err
	}
	s, err := call(ctx, c, func(ctx context.Context, o *operator.Client) (operator.Status, error) { return o.Status(ctx) })
	if err != nil {
		return err
	}
	return p.print(c, s, func(w io.Writer) { writeStatus(w, s) })
}

func writeStatus(w io.Writer, s operator.Status) {
	linef(w, "revision %d, as seen by %s", s.Revision, s.Instance)
	writeDegraded(w, s.Degraded)
	writeInstances(w, s.Instances)
	writePlacers(w, s.Placers)
	writeEndpoints(w, s.Endpoints, s.Dispatchers)
	writeModels(w, s.Models)
}

func writeDegraded(w io.Writer, degraded []operator.Degradation) {
	if len(degraded) == 0 {
		linef(w, "nothing degraded")
		return
	}
	var rows [][]string
	for _, d := range degraded {
		rows = append(rows, []string{d.Part, d.Since.UTC().Format("15:04:05"), d.Why})
	}
	writeTable(w, "degraded", "PART SINCE WHY", rows)
}

func writeInstances(w io.Writer, instances []operator.InstanceStatus) {
	var rows [][]string
	for _, i := range instances {
		rows = append(rows, []string{i.Name, i.Datacentre, i.Region, i.Address, strconv.FormatUint(i.Revision, 10), string(i.State)})
	}
	writeTable(w, "instances", "NAME DATACENTRE REGION ADDRESS REVISION STATE", rows)
}

func writePlacers(w io.Writer, placers []operator.PlacerStatus) {
	var rows [][]string
	for _, p := range placers {
		rows = append(rows, []string{p.Datacentre, orDash(p.Instance), strconv.FormatUint(p.Fence, 10), formatMilliseconds(p.Lease)})
	}
	writeTable(w, "placers", "DATACENTRE INSTANCE FENCE LEASE", rows)
}

func writeEndpoints(w io.Writer, endpoints []operator.EndpointStatus, dispatchers []operator.DispatcherStatus) {
	byEndpoint := make(map[string]operator.DispatcherStatus, len(dispatchers))
	for _, d := range dispatchers {
		byEndpoint[d.Endpoint] = d
	}
	var rows [][]string
	for _, e := range endpoints {
		d := byEndpoint[e.Name]
		rows = append(rows, []string{
			e.Name, e.Service, e.Datacentre, string(e.State), orDash(d.Instance),
			strconv.Itoa(d.Running), strconv.Itoa(d.Queued), formatMilliseconds(d.Wait),
			inifile.FormatSize(e.Free), strconv.Itoa(len(e.Models)),
		})
	}
	writeTable(w, "endpoints", "NAME SERVICE DATACENTRE STATE DISPATCHER RUNNING QUEUED WAIT FREE MODELS", rows)
}

func writeModels(w io.Writer, models []operator.ModelStatus) {
	var rows [][]string
	for _, m := range models {
		copies := fmt.Sprintf("%d/%d", len(m.Endpoints), m.Wanted)
		rows = append(rows, []string{m.Name, copies, orDash(strings.Join(m.Endpoints, ", "))})
	}
	writeTable(w, "models", "NAME COPIES ENDPOINTS", rows)
}
