package slopes

import "fmt"

const (
	// fanout is how many peers an instance beats in one round, each in its turn.
	fanout = 12.0
	// collectorChanged is the collector's growth at GOGC=50.
	collectorChanged = 1.5
)

// Changed returns the cost of each role at a target with the changes of design that
// docs/CAPACITY.md names, from the trials.
func (r *Report) Changed(t Target) ([]Row, error) {
	e := &estimate{report: r}
	near := t.Instances / t.Centres
	endpoints := t.Runners / t.Centres
	own := t.Runners / t.Instances
	rows := e.everyNode(t, near, endpoints, own)
	for i := range rows {
		e.change(&rows[i], t, near, own)
	}
	return append(rows, e.rolesChanged(t, near, endpoints)...), e.err
}

// change puts the changed cost in the place of the present one.
func (e *estimate) change(row *Row, t Target, near, own float64) {
	switch row.What {
	case whatConnections:
		row.What, row.Heap = row.What+", small buffers", e.at("trial: small connection memory", near-1)
	case whatBeats:
		payload := e.at("trial: compact loads bytes", own)
		row.What = fmt.Sprintf("heartbeats on open streams, %.0f peers a round, loads by row of the list", fanout)
		row.CPU = e.cpu("trial: stream message cpu", payload, 2*fanout*beatRate)
		row.Bytes = 2 * e.at("trial: stream message bytes", payload) * fanout * beatRate
	case whatDirectory:
		row.What, row.CPU = row.What+", reported every third round", row.CPU*fanout/(near-1)
	case whatDocument:
		row.What = "profile document, a difference for each change"
		row.Bytes = e.at("difference bytes", t.Models) * t.Changes / secondsADay
	}
}

func (e *estimate) rolesChanged(t Target, near, endpoints float64) []Row {
	return append([]Row{
		{
			Role: rolePlacer, What: "planner of a data centre, a round in 15 s",
			CPU: e.cpu("plan cpu", endpoints, planRate/3), Heap: 2 * e.at("plan memory", endpoints),
		},
		{
			Role: roleWatcher, What: "platform's list, own rows, waiting for changes",
			Bytes: e.watched(t, endpoints),
		},
		{
			Role: roleWatcher, What: "document handed to half of the data centre",
			Bytes: e.at("difference bytes", t.Models) * t.Changes / secondsADay * near / watchersEach,
		},
	}, e.speaker(t)...)
}
