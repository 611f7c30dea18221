package node

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/chiveramp/chiveramp/internal/core/attain"
	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/entry"
	"github.com/chiveramp/chiveramp/internal/operator"
	"github.com/chiveramp/chiveramp/internal/peer/peerpb"
)

// attainment holds outcome statistics of the requests that entered at this instance within
// a sliding window. It implements entry.Observer.
type attainment struct {
	clock func() time.Time
	next  entry.Observer

	mu     sync.Mutex
	window *attain.Window
}

// newAttainment returns an observer that passes each report on to the next one.
func newAttainment(clock func() time.Time, next entry.Observer) *attainment {
	return &attainment{clock: clock, next: next, window: attain.NewWindow(clock())}
}

// Ended implements entry.Observer.
func (a *attainment) Ended(r entry.Report) {
	a.next.Ended(r)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.window.Record(a.clock(), attain.EndedRequest{Profile: r.Profile, Rank: r.Rank, Kind: kindOf(r), Code: r.Code, FirstToken: r.First})
}

func kindOf(r entry.Report) attain.Kind {
	switch {
	case Met(r):
		return attain.KindMet
	case r.Code == "":
		return attain.KindLate
	case refusalCodes[r.Code]:
		return attain.KindRefused
	default:
		return attain.KindFailed
	}
}

func (a *attainment) stats() []attain.ProfileStats {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.window.Stats(a.clock())
}

// Attainment implements peer.Handler.
func (n *Node) Attainment(ctx context.Context, r *peerpb.AttainmentRequest) (*peerpb.AttainmentReply, error) {
	stats := n.attainment.stats()
	if r.Relay {
		stats = attain.Add(append(askDataCentre(ctx, n, n.askStats), stats)...)
	}
	reply := &peerpb.AttainmentReply{}
	for _, s := range stats {
		row, err := toProfileSum(s)
		if err != nil {
			return nil, status.Errorf(codes.Internal, "attainment: %v", err)
		}
		reply.Sums = append(reply.Sums, row)
	}
	return reply, nil
}

// askStats requests the statistics of one instance.
func (n *Node) askStats(ctx context.Context, address string, relay bool) ([]attain.ProfileStats, error) {
	reply, err := n.client.Attainment(ctx, address, relay)
	if err != nil {
		return nil, err
	}
	stats := make([]attain.ProfileStats, 0, len(reply.Sums))
	for _, row := range reply.Sums {
		s, err := fromProfileSum(row)
		if err != nil {
			return nil, err
		}
		stats = append(stats, s)
	}
	return stats, nil
}

func toProfileSum(s attain.ProfileStats) (*peerpb.ProfileSum, error) {
	times, err := s.EncodeTimes()
	if err != nil {
		return nil, err
	}
	row := &peerpb.ProfileSum{
		Profile: string(s.Profile), Rank: string(s.Rank), Requests: s.Requests,
		Met: s.Met, Refused: s.Refused, Failed: s.Failed, Times: times,
	}
	for _, c := range s.Causes {
		row.Causes = append(row.Causes, &peerpb.Cause{Code: c.Code, Count: c.Count})
	}
	return row, nil
}

func fromProfileSum(row *peerpb.ProfileSum) (attain.ProfileStats, error) {
	s := attain.ProfileStats{
		Profile: fleet.Profile(row.Profile), Rank: fleet.Rank(row.Rank), Requests: row.Requests,
		Met: row.Met, Refused: row.Refused, Failed: row.Failed,
	}
	for _, c := range row.Causes {
		s.Causes = append(s.Causes, attain.Cause{Code: c.Code, Count: c.Count})
	}
	return s, s.DecodeTimes(row.Times)
}

// profileReports compares each profile with its targets, over the recent requests of all
// instances.
func (n *Node) profileReports(ctx context.Context) []operator.ProfileReport {
	document, _ := n.Profiles()
	reports := make([]operator.ProfileReport, 0, len(document.Profiles()))
	stats := attain.Add(append(askAll(ctx, n, n.askStats), n.attainment.stats())...)
	for _, p := range document.Profiles() {
		report := operator.ProfileReport{
			Profile: p.Name, Rank: string(p.Rank), Target: p.First.Milliseconds(), Window: attain.Span.Milliseconds(),
		}
		byName := func(s attain.ProfileStats, name string) int { return cmp.Compare(string(s.Profile), name) }
		if i, found := slices.BinarySearchFunc(stats, p.Name, byName); found {
			fillReport(&report, stats[i])
		}
		reports = append(reports, report)
	}
	return reports
}

func fillReport(r *operator.ProfileReport, s attain.ProfileStats) {
	r.Requests, r.Met, r.Refused, r.Failed = s.Requests, s.Met, s.Refused, s.Failed
	r.TimeToFirstToken, r.Why = s.FirstTokenP95().Milliseconds(), s.MainCause()
}
