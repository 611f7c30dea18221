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
	// packWindow is the window of a packed full, in bytes.
	packWindow = 64 << 10
	// packLimit is the most that a packed full may hold, in bytes.
	packLimit = 8 << 20
)

// ToTold returns messages of totals in the form for the wire, fulls packed.
func ToTold(list []totals.Message) ([]*peerpb.Told, error) {
	told := make([]*peerpb.Told, 0, len(list))
	for _, m := range list {
		one, err := toTold(m)
		if err != nil {
			return nil, err
		}
		told = append(told, one)
	}
	return told, nil
}

func toTold(m totals.Message) (*peerpb.Told, error) {
	t := &peerpb.Told{
		Datacentre: string(m.Place.DataCentre), Region: string(m.Place.Region),
		Base: ToBase(m.Base), Number: m.Number, Gone: m.Removed, Revision: m.Revision,
	}
	for _, b := range m.Behind {
		t.Behind = append(t.Behind, &peerpb.Behind{Row: b.Number, Revision: b.Revision})
	}
	if !m.IsSnapshot() {
		t.Models, t.Instances = toSums(m.Models), toRows(m.Rows)
		return t, nil
	}
	var err error
	if t.Packed = m.Encoded; t.Packed == nil {
		t.Packed, err = pack(&peerpb.Told{Models: toSums(m.Models), Instances: toRows(m.Rows)})
	}
	return t, err
}

func pack(t *peerpb.Told) ([]byte, error) {
	raw, err := proto.Marshal(t)
	if err != nil {
		return nil, fmt.Errorf("pack totals: %w", err)
	}
	encoder, err := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithLowerEncoderMem(true), zstd.WithWindowSize(packWindow))
	if err != nil {
		return nil, fmt.Errorf("pack totals: %w", err)
	}
	defer encoder.Close() //nolint:errcheck // writes to no one
	return encoder.EncodeAll(raw, nil), nil
}

func toSums(list []totals.Sum) []*peerpb.ModelTotal {
	sums := make([]*peerpb.ModelTotal, 0, len(list))
	for _, s := range list {
		sums = append(sums, &peerpb.ModelTotal{Model: s.Model, Copies: s.Copies, Running: s.Running, Queued: s.Queued})
	}
	return sums
}

func toRows(list []totals.Row) []*peerpb.InstanceAddress {
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

// FromTold reads a message of totals.
func FromTold(t *peerpb.Told) (totals.Message, error) {
	m := totals.Message{
		Place: fleet.Place{Region: fleet.Region(t.Region), DataCentre: fleet.DataCentre(t.Datacentre)},
		Base:  FromBase(t.Base), Number: t.Number, Removed: t.Gone, Revision: t.Revision, Encoded: t.Packed,
	}
	for _, b := range t.Behind {
		m.Behind = append(m.Behind, totals.Behind{Number: b.Row, Revision: b.Revision})
	}
	content := t
	if m.IsSnapshot() {
		content = &peerpb.Told{}
		if err := unpack(t.Packed, content); err != nil {
			return totals.Message{}, fmt.Errorf("unpack totals of %s: %w", t.Datacentre, err)
		}
	}
	m.Models, m.Rows = fromSums(content.Models), fromRows(content.Instances)
	return m, nil
}

func unpack(packed []byte, into *peerpb.Told) error {
	decoder, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true), zstd.WithDecoderMaxMemory(packLimit))
	if err != nil {
		return err
	}
	defer decoder.Close()
	raw, err := decoder.DecodeAll(packed, nil)
	if err != nil {
		return err
	}
	return proto.Unmarshal(raw, into)
}

func fromSums(list []*peerpb.ModelTotal) []totals.Sum {
	sums := make([]totals.Sum, 0, len(list))
	for _, s := range list {
		sums = append(sums, totals.Sum{Model: s.Model, Copies: s.Copies, Running: s.Running, Queued: s.Queued})
	}
	return sums
}

func fromRows(list []*peerpb.InstanceAddress) []totals.Row {
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

// ToBase returns the name of a full in the form for the wire, nil for none.
func ToBase(id totals.ID) *peerpb.Base {
	if id == (totals.ID{}) {
		return nil
	}
	return &peerpb.Base{Teller: uint32(id.Source), Serial: id.Serial}
}

// FromBase reads the name of a full.
func FromBase(b *peerpb.Base) totals.ID {
	return totals.ID{Source: totals.Source(b.GetTeller()), Serial: b.GetSerial()}
}
