package peer

import (
	"fmt"

	"github.com/klauspost/compress/zstd"
	"google.golang.org/protobuf/proto"

	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/core/member"
	"github.com/chiveramp/chiveramp/internal/core/totals"
	"github.com/chiveramp/chiveramp/internal/peer/peerpb"
)

const (
	// compressionWindow is the zstd window for a snapshot, in bytes.
	compressionWindow = 64 << 10
	// maxDecompressed is the maximum size of a decompressed snapshot, in bytes.
	maxDecompressed = 8 << 20
)

// ToTotals converts totals messages to their wire form, with compressed snapshots.
func ToTotals(list []totals.Message) ([]*peerpb.Told, error) {
	wire := make([]*peerpb.Told, 0, len(list))
	for _, m := range list {
		converted, err := toTotalsMessage(m)
		if err != nil {
			return nil, err
		}
		wire = append(wire, converted)
	}
	return wire, nil
}

func toTotalsMessage(m totals.Message) (*peerpb.Told, error) {
	t := &peerpb.Told{
		Datacentre: string(m.Place.DataCentre), Region: string(m.Place.Region),
		Base: ToSnapshotID(m.Base), Number: m.Number, Gone: m.Removed, Revision: m.Revision,
	}
	for _, b := range m.Behind {
		t.Behind = append(t.Behind, &peerpb.Behind{Row: b.Number, Revision: b.Revision})
	}
	if !m.IsSnapshot() {
		t.Models, t.Instances = toModelTotals(m.Models), toInstanceAddresses(m.Rows)
		return t, nil
	}
	var err error
	if t.Packed = m.Encoded; t.Packed == nil {
		t.Packed, err = compress(&peerpb.Told{Models: toModelTotals(m.Models), Instances: toInstanceAddresses(m.Rows)})
	}
	return t, err
}

func compress(t *peerpb.Told) ([]byte, error) {
	raw, err := proto.Marshal(t)
	if err != nil {
		return nil, fmt.Errorf("encode totals: %w", err)
	}
	encoder, err := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithLowerEncoderMem(true), zstd.WithWindowSize(compressionWindow))
	if err != nil {
		return nil, fmt.Errorf("compress totals: %w", err)
	}
	defer encoder.Close() //nolint:errcheck // has no writer to flush to
	return encoder.EncodeAll(raw, nil), nil
}

func toModelTotals(list []totals.Sum) []*peerpb.ModelTotal {
	sums := make([]*peerpb.ModelTotal, 0, len(list))
	for _, s := range list {
		sums = append(sums, &peerpb.ModelTotal{Model: s.Model, Copies: s.Copies, Running: s.Running, Queued: s.Queued})
	}
	return sums
}

func toInstanceAddresses(list []totals.Row) []*peerpb.InstanceAddress {
	rows := make([]*peerpb.InstanceAddress, 0, len(list))
	for _, r := range list {
		p := r.Peer
		rows = append(rows, &peerpb.InstanceAddress{
			Instance: string(p.Instance), Datacentre: string(p.Place.DataCentre), Region: string(p.Place.Region),
			Peer: p.Address, Caller: p.Caller, Incarnation: p.Incarnation, Row: r.Number,
		})
	}
	return rows
}

// FromTotals converts a totals message from its wire form.
func FromTotals(t *peerpb.Told) (totals.Message, error) {
	m := totals.Message{
		Place: fleet.Place{Region: fleet.Region(t.Region), DataCentre: fleet.DataCentre(t.Datacentre)},
		Base:  FromSnapshotID(t.Base), Number: t.Number, Removed: t.Gone, Revision: t.Revision, Encoded: t.Packed,
	}
	for _, b := range t.Behind {
		m.Behind = append(m.Behind, totals.Behind{Number: b.Row, Revision: b.Revision})
	}
	content := t
	if m.IsSnapshot() {
		content = &peerpb.Told{}
		if err := decompress(t.Packed, content); err != nil {
			return totals.Message{}, fmt.Errorf("decompress totals of %s: %w", t.Datacentre, err)
		}
	}
	m.Models, m.Rows = fromModelTotals(content.Models), fromInstanceAddresses(content.Instances)
	return m, nil
}

func decompress(compressed []byte, into *peerpb.Told) error {
	decoder, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true), zstd.WithDecoderMaxMemory(maxDecompressed))
	if err != nil {
		return err
	}
	defer decoder.Close()
	raw, err := decoder.DecodeAll(compressed, nil)
	if err != nil {
		return err
	}
	return proto.Unmarshal(raw, into)
}

func fromModelTotals(list []*peerpb.ModelTotal) []totals.Sum {
	sums := make([]totals.Sum, 0, len(list))
	for _, s := range list {
		sums = append(sums, totals.Sum{Model: s.Model, Copies: s.Copies, Running: s.Running, Queued: s.Queued})
	}
	return sums
}

func fromInstanceAddresses(list []*peerpb.InstanceAddress) []totals.Row {
	rows := make([]totals.Row, 0, len(list))
	for _, r := range list {
		rows = append(rows, totals.Row{Number: r.Row, Peer: member.Peer{
			Instance:    fleet.Instance(r.Instance),
			Place:       fleet.Place{Region: fleet.Region(r.Region), DataCentre: fleet.DataCentre(r.Datacentre)},
			Incarnation: r.Incarnation, Address: r.Peer, Caller: r.Caller,
		}})
	}
	return rows
}

// ToSnapshotID converts a snapshot's ID to its wire form; the zero ID becomes nil.
func ToSnapshotID(id totals.ID) *peerpb.Base {
	if id == (totals.ID{}) {
		return nil
	}
	return &peerpb.Base{Teller: uint32(id.Source), Serial: id.Serial}
}

// FromSnapshotID converts a snapshot's ID from its wire form.
func FromSnapshotID(b *peerpb.Base) totals.ID {
	return totals.ID{Source: totals.Source(b.GetTeller()), Serial: b.GetSerial()}
}
