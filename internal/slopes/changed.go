package slopes

const (
	// tunedHeapFactor is the heap growth that the garbage collector allows at GOGC=50.
	tunedHeapFactor = 1.5
)

// RowsWithChanges returns the cost of each role at a target with the design changes that
// docs/CAPACITY.md names. The changed costs come from the trials.
func (r *Report) RowsWithChanges(t Target) ([]Row, error) {
	e := &estimate{report: r}
	instancesPerCentre := t.Instances / t.Centres
	endpoints := t.Runners / t.Centres
	ownEndpoints := t.Runners / t.Instances
	rows := e.instanceRows(t, instancesPerCentre, endpoints, ownEndpoints)
	for i := range rows {
		e.applyChange(&rows[i], t, instancesPerCentre)
	}
	return append(rows, e.changedRoleRows(t, instancesPerCentre, endpoints)...), e.err
}

// applyChange replaces the cost in a row by the one after the design change, if it has one.
func (e *estimate) applyChange(row *Row, t Target, instancesPerCentre float64) {
	switch row.What {
	case whatConnections:
		row.What, row.Heap = row.What+", small buffers", e.costAt("trial: small connection memory", instancesPerCentre-1)
	case whatDocument:
		row.What = "profile document, a delta for each change"
		row.Bytes = e.costAt("document delta bytes", t.Models) * t.Changes / secondsPerDay
	}
}

func (e *estimate) changedRoleRows(t Target, instancesPerCentre, endpoints float64) []Row {
	return append(append(e.placerRows(endpoints), []Row{
		{
			Role: roleWatcher, What: "platform's list, own data centre, blocking queries",
			Bytes: e.listReadBytes(t, endpoints),
		},
		{
			Role: roleWatcher, What: "document sent to half of the data centre",
			Bytes: e.costAt("document delta bytes", t.Models) * t.Changes / secondsPerDay * instancesPerCentre / watchersPerCentre,
		},
	}...), e.speakerRows(t)...)
}
