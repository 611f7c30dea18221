package slopes

import (
	"context"
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/chiveramp/chiveramp/internal/core/member"
	"github.com/chiveramp/chiveramp/internal/core/totals"
	"github.com/chiveramp/chiveramp/internal/peer"
	"github.com/chiveramp/chiveramp/internal/peer/peerpb"
)

// nearInstances are the instances of one data centre of the target.
const nearInstances = 38

// sums are the sums of n models.
func sums(n int) []totals.Sum {
	list := make([]totals.Sum, 0, n)
	for i := range n {
		list = append(list, totals.Sum{Model: fmt.Sprintf("model-%03d@%d", i, i%7+1), Copies: 2, Running: uint32(i % 200), Queued: uint32(i % 50)})
	}
	return list
}

// told are the full and the first difference of a data centre.
func told(centre, models, instances int) []totals.Message {
	var peers []member.Peer
	for i := range instances {
		peers = append(peers, peerOf(i*centres+centre, centre))
	}
	teller := totals.NewSender(peers[0])
	state := totals.State{Place: peers[0].Place, Models: sums(models), Instances: peers}
	return teller.Messages(begin, state, totals.ID{})
}

// Totals measures what data centres tell each other.
func Totals(r *Report) error {
	full := Series{Name: "full totals bytes", By: "models", Unit: "B"}
	packing := Series{Name: "full totals cpu, packed", By: "models", Unit: "ns"}
	taking := Series{Name: "full totals cpu, taken", By: "models", Unit: "ns"}
	memory := Series{Name: "totals memory", By: "models", Unit: "B"}
	for _, n := range []int{34, 190, 380, 760} {
		size, message := float64(n), told(1, n, nearInstances)[:1]
		wire, err := peer.ToTotals(message)
		if err != nil {
			return fmt.Errorf("totals of %d models: %w", n, err)
		}
		full.Points = append(full.Points, Point{size, float64(proto.Size(wire[0]))})
		packing.Points = append(packing.Points, Point{size, cpuOf(func() { _, _ = peer.ToTotals(message) })})
		taking.Points = append(taking.Points, Point{size, cpuOf(func() { take(totals.NewTracker(), wire) })})
		memory.Points = append(memory.Points, Point{size, memoryOf(func() *totals.Tracker { return bookOf(n) }) / (centres - 1)})
	}
	for _, s := range []Series{full, packing, taking, memory} {
		r.Add(s)
	}
	if err := differences(r); err != nil {
		return err
	}
	return exchanges(r)
}

// take reads messages from the wire into a book.
func take(b *totals.Tracker, wire []*peerpb.Told) {
	for _, t := range wire {
		raw, _ := proto.Marshal(t)
		read := &peerpb.Told{}
		_ = proto.Unmarshal(raw, read)
		m, _ := peer.FromTotals(read)
		b.ReceiveForwarded(begin, m)
	}
}

// bookOf is the book of an instance that heard all other data centres.
func bookOf(models int) *totals.Tracker {
	b := totals.NewTracker()
	for centre := 1; centre < centres; centre++ {
		wire, _ := peer.ToTotals(told(centre, models, nearInstances))
		take(b, wire)
	}
	return b
}

// differences measures what is told between two fulls, with one instance gone, one new
// and one behind, until the view has taken it.
func differences(r *Report) error {
	bytes := Series{Name: "totals difference bytes", By: "instances", Unit: "B"}
	cpu := Series{Name: "totals difference cpu, taken", By: "instances", Unit: "ns"}
	for _, n := range []int{10, 20, 38, 76} {
		messages := told(1, 760, n)
		m := messages[1]
		m.Removed, m.Behind = []uint32{1}, []totals.Behind{{Number: 2, Revision: 8}}
		m.Rows = []totals.Row{{Number: uint32(n), Peer: peerOf(999, 1)}}
		wire, err := peer.ToTotals([]totals.Message{m})
		if err != nil {
			return fmt.Errorf("difference with %d instances: %w", n, err)
		}
		bytes.Points = append(bytes.Points, Point{float64(n), float64(proto.Size(wire[0]))})
		book, v := totals.NewTracker(), member.New(peerOf(0, 0), member.WithInterval(time.Second))
		book.ReceiveForwarded(begin, messages[0])
		cpu.Points = append(cpu.Points, Point{float64(n), cpuOf(func() {
			wire[0].Number++
			take(book, wire)
			v.ObserveRemote(begin, book.Instances(m.Place.DataCentre))
		})})
	}
	r.Add(bytes)
	r.Add(cpu)
	return nil
}

// exchanges measures one call with a difference each way, over a real connection.
func exchanges(r *Report) error {
	m, err := newMesh(1, newSilent())
	if err != nil {
		return err
	}
	defer m.close()
	bytes := Series{Name: "exchange bytes", By: "bytes each way", Unit: "B"}
	cpu := Series{Name: "exchange cpu", By: "bytes each way", Unit: "ns"}
	for _, size := range []int{32, 128, 512} {
		request := &peerpb.TotalsRequest{Told: []*peerpb.Told{{Packed: make([]byte, size)}}}
		var failed error
		count, before := 0, m.wire.total()
		cost := cpuOf(func() {
			count++
			if _, err := m.client.Totals(context.Background(), m.addresses[0], request); err != nil {
				failed = err
			}
		})
		if failed != nil {
			return fmt.Errorf("exchange of %d bytes: %w", size, failed)
		}
		bytes.Points = append(bytes.Points, Point{float64(size), (m.wire.total() - before) / float64(count)})
		cpu.Points = append(cpu.Points, Point{float64(size), cost})
	}
	r.Add(bytes)
	r.Add(cpu)
	return nil
}

// Totals implements peer.Handler: it tells as much as it is told.
func (silent) Totals(_ context.Context, r *peerpb.TotalsRequest) (*peerpb.TotalsReply, error) {
	return &peerpb.TotalsReply{Told: r.Told}, nil
}

// fullPeriod is the time between two fulls at a target, in seconds.
func fullPeriod(t Target) float64 {
	return max(exchangePeriod, totals.SnapshotInterval(int(t.Models)).Seconds())
}

// passed is what one data centre tells another, B a second, as it is passed on in heartbeats.
func (e *estimate) passed(t Target) float64 {
	return e.at("full totals bytes", t.Models)/fullPeriod(t) + e.at("totals difference bytes", t.Instances/t.Centres)/exchangePeriod
}

// totalsTaken are the totals as every instance takes them.
func (e *estimate) totalsTaken(t Target) Row {
	others := t.Centres - 1
	return Row{
		Role: roleEntry, What: whatTotals,
		CPU: e.cpu("full totals cpu, taken", t.Models, others/fullPeriod(t)) +
			e.cpu("totals difference cpu, taken", t.Instances/t.Centres, others/exchangePeriod),
		Bytes: others * e.passed(t), Heap: others * e.at("totals memory", t.Models),
	}
}

// widened is what a round to all peers in each exchange costs beyond the usual ones.
func (e *estimate) widened(t Target) float64 {
	more := max(0, t.Instances/t.Centres-1-member.DefaultFanout)
	return more * e.at("beat bytes", t.Runners/t.Instances) / exchangePeriod
}

// speaker are the costs of one pair of data centres at the first speaker of a side.
func (e *estimate) speaker(t Target) []Row {
	near := t.Instances / t.Centres
	fulls := 2 * e.at("full totals bytes", t.Models) / fullPeriod(t)
	difference := e.at("totals difference bytes", near)
	return []Row{
		{
			Role: roleSpeaker, What: "totals exchanged for one pair of data centres, both ways",
			CPU:   e.cpu("exchange cpu", difference, 1/exchangePeriod) + e.cpu("full totals cpu, packed", t.Models, 1/fullPeriod(t)),
			Bytes: e.at("exchange bytes", difference)/exchangePeriod + fulls,
		},
		{
			Role: roleSpeaker, What: fmt.Sprintf("the same passed on to all %.0f peers, not only to those whose turn it is, first speaker of one pair", near-1),
			CPU:   e.cpu("full totals cpu, taken", t.Models, 1/fullPeriod(t)),
			Bytes: e.passed(t)*(near-1) + e.widened(t),
		},
	}
}
