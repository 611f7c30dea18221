package slopes

const (
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
		e.change(&rows[i], t, near)
	}
	return append(rows, e.rolesChanged(t, near, endpoints)...), e.err
}

// change puts the changed cost in the place of the present one.
func (e *estimate) change(row *Row, t Target, near float64) {
	switch row.What {
	case whatConnections:
		row.What, row.Heap = row.What+", small buffers", e.at("trial: small connection memory", near-1)
	case whatDocument:
		row.What = "profile document, a difference for each change"
		row.Bytes = e.at("difference bytes", t.Models) * t.Changes / secondsADay
	}
}

func (e *estimate) rolesChanged(t Target, near, endpoints float64) []Row {
	return append(append(e.placer(endpoints), []Row{
		{
			Role: roleWatcher, What: "platform's list, own rows, waiting for changes",
			Bytes: e.watched(t, endpoints),
		},
		{
			Role: roleWatcher, What: "document handed to half of the data centre",
			Bytes: e.at("difference bytes", t.Models) * t.Changes / secondsADay * near / watchersEach,
		},
	}...), e.speaker(t)...)
}
