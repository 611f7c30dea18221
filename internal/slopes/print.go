package slopes

import (
	"fmt"
	"io"
)

// PrintTarget writes the expected load of an instance and of the platform's service at the
// target, for the current design and with the design changes that docs/CAPACITY.md names.
// base is the resident memory of a process before it serves anything.
func (r *Report) PrintTarget(w io.Writer, base float64) error {
	target, budget := TwoYearTarget()
	var t table
	rows, err := r.Rows(target)
	if err != nil {
		return err
	}
	t.addRoles("current design", rows, budget, base, defaultHeapFactor)
	rows, err = r.Rows(Today())
	if err != nil {
		return err
	}
	t.addRoles("today's fleet", rows, budget, base, defaultHeapFactor)
	rows, err = r.RowsWithChanges(target)
	if err != nil {
		return err
	}
	t.addRoles("with the design changes", rows, budget, base, tunedHeapFactor)
	for _, share := range []float64{target.OnceShare, 2 * target.OnceShare} {
		target.OnceShare = share
		calls, err := r.Store(target)
		if err != nil {
			return err
		}
		t.addStoreCalls(fmt.Sprintf("1 request in %.0f runs only once", 1/share), calls)
	}
	return t.print(w)
}

// addRoles adds the cost of each role, the sum for the roles that every instance has, the
// budget, and the resident memory: base plus heapFactor times the live heap.
func (t *table) addRoles(title string, rows []Row, budget Budget, base, heapFactor float64) {
	t.row("role, "+title, "what", "cpu %", "B/s", "heap kB")
	var sum Row
	for _, r := range rows {
		t.addCost(r)
		if r.Role == roleEntry || r.Role == roleDispatcher {
			sum.CPU, sum.Bytes, sum.Heap = sum.CPU+r.CPU, sum.Bytes+r.Bytes, sum.Heap+r.Heap
		}
	}
	sum.Role, sum.What = "every instance", "sum of entry and dispatcher"
	t.addCost(sum)
	t.addCost(Row{Role: "every instance", What: "budget", CPU: budget.CPU, Bytes: budget.Bytes, Heap: budget.Memory})
	resident := base + heapFactor*sum.Heap
	t.row("every instance", fmt.Sprintf("resident: base %.1f MB + heap x %.1f", base/1e6, heapFactor), "", "", fmt.Sprintf("%.0f", resident/1e3))
	t.row("")
}

func (t *table) addCost(r Row) {
	t.row(r.Role, r.What, fmt.Sprintf("%.3f", 100*r.CPU), fmt.Sprintf("%.0f", r.Bytes), fmt.Sprintf("%.0f", r.Heap/1e3))
}

// addStoreCalls adds the rates of calls to the platform's service, with sums by kind.
func (t *table) addStoreCalls(title string, calls []StoreCall) {
	t.row("store calls, "+title, "kind", "a second")
	reads, writes := 0.0, 0.0
	for _, c := range calls {
		t.row(c.What, c.Kind, fmt.Sprintf("%.2f", c.Rate))
		if c.Kind == kindRead {
			reads += c.Rate
		} else {
			writes += c.Rate
		}
	}
	t.row("sum", kindRead, fmt.Sprintf("%.1f", reads))
	t.row("sum", kindWrite, fmt.Sprintf("%.1f", writes))
	t.row("")
}
