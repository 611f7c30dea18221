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

// targetInstancesPerCentre is the number of instances in one data centre of the target.
const targetInstancesPerCentre = 38

// modelSums returns the sums of n models.
func modelSums(n int) []totals.Sum {
	list := make([]totals.Sum, 0, n)
	for i := range n {
		list = append(list, totals.Sum{Model: fmt.Sprintf("model-%03d@%d", i, i%7+1), Copies: 2, Running: uint32(i % 200), Queued: uint32(i % 50)})
	}
	return list
}

// totalsMessages returns the snapshot and the first delta of a data centre.
func totalsMessages(centre, models, instances int) []totals.Message {
	var peers []member.Peer
	for i := range instances {
		peers = append(peers, peerOf(i*centres+centre, centre))
	}
	sender := totals.NewSender(peers[0])
	state := totals.State{Place: peers[0].Place, Models: modelSums(models), Instances: peers}
	return sender.Messages(startTime, state, totals.ID{})
}

// Totals measures the totals that data centres send each other.
func Totals(r *Report) error {
	snapshot := Series{Name: "totals snapshot bytes", By: "models", Unit: "B"}
	encoding := Series{Name: "totals snapshot encode cpu", By: "models", Unit: "ns"}
	applying := Series{Name: "totals snapshot apply cpu", By: "models", Unit: "ns"}
	memory := Series{Name: "totals memory", By: "models", Unit: "B"}
	for _, n := range []int{34, 190, 380, 760} {
		size, message := float64(n), totalsMessages(1, n, targetInstancesPerCentre)[:1]
		encoded, err := peer.ToTotals(message)
		if err != nil {
			return fmt.Errorf("totals of %d models: %w", n, err)
		}
		snapshot.Points = append(snapshot.Points, Point{size, float64(proto.Size(encoded[0]))})
		encoding.Points = append(encoding.Points, Point{size, cpuOf(func() { _, _ = peer.ToTotals(message) })})
		applying.Points = append(applying.Points, Point{size, cpuOf(func() { applyMessages(totals.NewTracker(), encoded) })})
		memory.Points = append(memory.Points, Point{size, memoryOf(func() *totals.Tracker { return newTracker(n) }) / (centres - 1)})
	}
	for _, s := range []Series{snapshot, encoding, applying, memory} {
		r.Add(s)
	}
	if err := measureDeltas(r); err != nil {
		return err
	}
	return measureExchanges(r)
}

// applyMessages decodes messages and applies them to a tracker.
func applyMessages(b *totals.Tracker, encoded []*peerpb.Told) {
	for _, t := range encoded {
		raw, _ := proto.Marshal(t)
		decoded := &peerpb.Told{}
		_ = proto.Unmarshal(raw, decoded)
		m, _ := peer.FromTotals(decoded)
		b.ReceiveForwarded(startTime, m)
	}
}

// newTracker returns the tracker of an instance that has received the totals of all other
// data centres.
func newTracker(models int) *totals.Tracker {
	b := totals.NewTracker()
	for centre := 1; centre < centres; centre++ {
		encoded, _ := peer.ToTotals(totalsMessages(centre, models, targetInstancesPerCentre))
		applyMessages(b, encoded)
	}
	return b
}

// measureDeltas measures the delta sent between two snapshots, with one instance removed, one
// added and one behind. The CPU time includes the update of the view.
func measureDeltas(r *Report) error {
	bytes := Series{Name: "totals delta bytes", By: "instances", Unit: "B"}
	cpu := Series{Name: "totals delta apply cpu", By: "instances", Unit: "ns"}
	for _, n := range []int{10, 20, 38, 76} {
		messages := totalsMessages(1, 760, n)
		m := messages[1]
		m.Removed, m.Behind = []uint32{1}, []totals.Behind{{Number: 2, Revision: 8}}
		m.Rows = []totals.Row{{Number: uint32(n), Peer: peerOf(999, 1)}}
		encoded, err := peer.ToTotals([]totals.Message{m})
		if err != nil {
			return fmt.Errorf("delta with %d instances: %w", n, err)
		}
		bytes.Points = append(bytes.Points, Point{float64(n), float64(proto.Size(encoded[0]))})
		tracker, v := totals.NewTracker(), member.New(peerOf(0, 0), member.WithInterval(time.Second))
		tracker.ReceiveForwarded(startTime, messages[0])
		cpu.Points = append(cpu.Points, Point{float64(n), cpuOf(func() {
			encoded[0].Number++
			applyMessages(tracker, encoded)
			v.ObserveRemote(startTime, tracker.Instances(m.Place.DataCentre))
		})})
	}
	r.Add(bytes)
	r.Add(cpu)
	return nil
}

// measureExchanges measures one call with a delta each way, over a real connection.
func measureExchanges(r *Report) error {
	m, err := newMesh(1, newHeartbeatHandler())
	if err != nil {
		return err
	}
	defer m.close()
	bytes := Series{Name: "exchange bytes", By: "bytes each way", Unit: "B"}
	cpu := Series{Name: "exchange cpu", By: "bytes each way", Unit: "ns"}
	for _, size := range []int{32, 128, 512} {
		request := &peerpb.TotalsRequest{Told: []*peerpb.Told{{Packed: make([]byte, size)}}}
		var failed error
		count, before := 0, m.traffic.totalBytes()
		cost := cpuOf(func() {
			count++
			if _, err := m.client.Totals(context.Background(), m.addresses[0], request); err != nil {
				failed = err
			}
		})
		if failed != nil {
			return fmt.Errorf("exchange of %d bytes: %w", size, failed)
		}
		bytes.Points = append(bytes.Points, Point{float64(size), (m.traffic.totalBytes() - before) / float64(count)})
		cpu.Points = append(cpu.Points, Point{float64(size), cost})
	}
	r.Add(bytes)
	r.Add(cpu)
	return nil
}

// Totals implements peer.Handler. The reply is as large as the request.
func (heartbeatHandler) Totals(_ context.Context, r *peerpb.TotalsRequest) (*peerpb.TotalsReply, error) {
	return &peerpb.TotalsReply{Told: r.Told}, nil
}

// snapshotPeriod returns the time between two snapshots at a target, in seconds.
func snapshotPeriod(t Target) float64 {
	return max(exchangePeriod, totals.SnapshotInterval(int(t.Models)).Seconds())
}

// forwardedBytes returns the totals of one data centre as another forwards them in
// heartbeats, in bytes per second.
func (e *estimate) forwardedBytes(t Target) float64 {
	return e.costAt("totals snapshot bytes", t.Models)/snapshotPeriod(t) + e.costAt("totals delta bytes", t.Instances/t.Centres)/exchangePeriod
}

// totalsRow returns the cost of the totals for every instance that receives them.
func (e *estimate) totalsRow(t Target) Row {
	otherCentres := t.Centres - 1
	return Row{
		Role: roleEntry, What: whatTotals,
		CPU: e.cpuShare("totals snapshot apply cpu", t.Models, otherCentres/snapshotPeriod(t)) +
			e.cpuShare("totals delta apply cpu", t.Instances/t.Centres, otherCentres/exchangePeriod),
		Bytes: otherCentres * e.forwardedBytes(t), Heap: otherCentres * e.costAt("totals memory", t.Models),
	}
}

// broadcastBytes returns the additional cost, in bytes per second, of heartbeat rounds that
// go to all peers after each exchange instead of to the usual number.
func (e *estimate) broadcastBytes(t Target) float64 {
	extraPeers := max(0, t.Instances/t.Centres-1-member.DefaultFanout)
	return extraPeers * e.costAt("heartbeat bytes", t.Runners/t.Instances) / exchangePeriod
}

// speakerRows returns the costs of one pair of data centres for the first speaker of a side.
func (e *estimate) speakerRows(t Target) []Row {
	instancesPerCentre := t.Instances / t.Centres
	snapshotBytes := 2 * e.costAt("totals snapshot bytes", t.Models) / snapshotPeriod(t)
	delta := e.costAt("totals delta bytes", instancesPerCentre)
	return []Row{
		{
			Role: roleSpeaker, What: "totals exchanged for one pair of data centres, both ways",
			CPU:   e.cpuShare("exchange cpu", delta, 1/exchangePeriod) + e.cpuShare("totals snapshot encode cpu", t.Models, 1/snapshotPeriod(t)),
			Bytes: e.costAt("exchange bytes", delta)/exchangePeriod + snapshotBytes,
		},
		{
			Role: roleSpeaker, What: fmt.Sprintf("the same forwarded to all %.0f peers, not only to those of one round, first speaker of one pair", instancesPerCentre-1),
			CPU:   e.cpuShare("totals snapshot apply cpu", t.Models, 1/snapshotPeriod(t)),
			Bytes: e.forwardedBytes(t)*(instancesPerCentre-1) + e.broadcastBytes(t),
		},
	}
}
