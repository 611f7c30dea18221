package slopes

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/url"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/chiveramp/chiveramp/internal/listing"
	"github.com/chiveramp/chiveramp/internal/peer/peerpb"
	"github.com/chiveramp/chiveramp/internal/platform"
	"github.com/chiveramp/chiveramp/internal/platform/platformtest"
	consul "github.com/chiveramp/chiveramp/internal/platform/wire"
	standin "github.com/chiveramp/chiveramp/internal/standin/platform"
)

const (
	listedRunners   = "runners"
	listedInstances = "chiveramp"
)

func clock() time.Time { return startTime }

// memberRow returns endpoint i of a data centre as a row of the platform's list.
func memberRow(i, centre int, state platform.MemberState) standin.Member {
	return standin.Member{
		Service: listedRunners, Name: string(endpointName(i)), Address: fmt.Sprintf("10.%d.%d.%d:9000", centre, i/256, i%256),
		Region: "region-1", DataCentre: fmt.Sprintf("region-1-%02d", centre), Incarnation: fmt.Sprintf("%08x", i), State: string(state),
	}
}

// newStore returns a store that lists n endpoints of the local data centre and ten times as
// many of another.
func newStore(n int) *platformtest.Fake {
	store := platformtest.New()
	for i := range n {
		store.Server().SetMember(memberRow(i, 0, platform.MemberLive))
	}
	for i := range 10 * n {
		store.Server().SetMember(memberRow(n+i, 1, platform.MemberLive))
	}
	return store
}

func newList(store listing.Store) *listing.List {
	return listing.New(listedInstances, []string{listedRunners}, "region-1-00", store)
}

// watchAll reads the list of each service once, as a watcher does.
func watchAll(l *listing.List) error {
	for _, service := range l.Services() {
		if _, err := l.Watch(context.Background(), service, clock); err != nil {
			return err
		}
	}
	return nil
}

// listUpdate holds the messages and the read that one changed row causes.
type listUpdate struct {
	snapshot, delta *peerpb.ListReply
	readBytes       float64 // size of one read by a watcher
}

// measureListUpdate changes one row in a list of n local endpoints.
func measureListUpdate(n int) (listUpdate, error) {
	store := newStore(n)
	l := newList(store)
	if err := watchAll(l); err != nil {
		return listUpdate{}, err
	}
	first, base := l.Reply(&peerpb.ListRequest{Datacentre: "region-1-00"}), l.Request()
	store.Server().SetMember(memberRow(n/2, 0, platform.MemberLeaving))
	if _, err := l.Watch(context.Background(), listedRunners, clock); err != nil {
		return listUpdate{}, err
	}
	query := url.Values{"filter": {consul.FilterDataCentre + `"region-1-00"`}}
	request := httptest.NewRequestWithContext(context.Background(), http.MethodGet, "/v1/health/service/"+listedRunners+"?"+query.Encode(), http.NoBody)
	answer := httptest.NewRecorder()
	store.Server().Handler().ServeHTTP(answer, request)
	return listUpdate{snapshot: first, delta: l.Reply(base), readBytes: float64(answer.Body.Len())}, nil
}

// Lists measures the platform's list as watchers read it, and as instances store it and
// forward it: as a snapshot, and as the delta of one changed row.
func Lists(r *Report) error {
	readBytes := Series{Name: "list read bytes", By: "rows", Unit: "B"}
	snapshot := Series{Name: "list bytes", By: "rows", Unit: "B"}
	delta := Series{Name: "list delta bytes", By: "rows", Unit: "B"}
	memory := Series{Name: "list memory", By: "rows", Unit: "B"}
	cpu := Series{Name: "list delta cpu", By: "rows", Unit: "ns"}
	for _, n := range []int{125, 250, 500, 1000} {
		update, err := measureListUpdate(n)
		if err != nil {
			return fmt.Errorf("list of %d rows: %w", n, err)
		}
		size := float64(n)
		rawSnapshot, _ := proto.Marshal(update.snapshot)
		rawDelta, _ := proto.Marshal(update.delta)
		readBytes.Points = append(readBytes.Points, Point{size, update.readBytes})
		snapshot.Points = append(snapshot.Points, Point{size, float64(len(rawSnapshot))})
		delta.Points = append(delta.Points, Point{size, float64(len(rawDelta))})
		memory.Points = append(memory.Points, Point{size, memoryOf(func() *listing.List { return listAfter(rawSnapshot, rawDelta) })})
		cpu.Points = append(cpu.Points, Point{size, cpuOf(func() { listAfter(rawSnapshot, rawDelta) }) - cpuOf(func() { listAfter(rawSnapshot) })})
	}
	for _, s := range []Series{readBytes, snapshot, delta, memory, cpu} {
		r.Add(s)
	}
	return nil
}

// listAfter returns the list of an instance that received these replies.
func listAfter(replies ...[]byte) *listing.List {
	l := newList(nil)
	for _, raw := range replies {
		reply := &peerpb.ListReply{}
		_ = proto.Unmarshal(raw, reply)
		l.ApplyReply(reply)
	}
	return l
}
