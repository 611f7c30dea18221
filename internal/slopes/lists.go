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

func clock() time.Time { return begin }

// row is one endpoint of the platform's list, in one of two data centres.
func row(i, centre int, state platform.MemberState) standin.Member {
	return standin.Member{
		Service: listedRunners, Name: string(endpointName(i)), Address: fmt.Sprintf("10.%d.%d.%d:9000", centre, i/256, i%256),
		Region: "region-1", DataCentre: fmt.Sprintf("region-1-%02d", centre), Incarnation: fmt.Sprintf("%08x", i), State: string(state),
	}
}

// storeOf holds n endpoints of the own data centre and ten times as many of another.
func storeOf(n int) *platformtest.Fake {
	store := platformtest.New()
	for i := range n {
		store.Server().SetMember(row(i, 0, platform.MemberLive))
	}
	for i := range 10 * n {
		store.Server().SetMember(row(n+i, 1, platform.MemberLive))
	}
	return store
}

func newList(store listing.Store) *listing.List {
	return listing.New(listedInstances, []string{listedRunners}, "region-1-00", store)
}

// read lets a watcher read each service once.
func read(l *listing.List) error {
	for _, service := range l.Services() {
		if _, err := l.Watch(context.Background(), service, clock); err != nil {
			return err
		}
	}
	return nil
}

// handing is what one changed row costs.
type handing struct {
	whole, difference *peerpb.ListReply
	read              float64 // bytes of one read by a watcher
}

func handed(n int) (handing, error) {
	store := storeOf(n)
	l := newList(store)
	if err := read(l); err != nil {
		return handing{}, err
	}
	first, base := l.Reply(&peerpb.ListRequest{Datacentre: "region-1-00"}), l.Request()
	store.Server().SetMember(row(n/2, 0, platform.MemberLeaving))
	if _, err := l.Watch(context.Background(), listedRunners, clock); err != nil {
		return handing{}, err
	}
	query := url.Values{"filter": {consul.FilterDataCentre + `"region-1-00"`}}
	request := httptest.NewRequestWithContext(context.Background(), http.MethodGet, "/v1/health/service/"+listedRunners+"?"+query.Encode(), http.NoBody)
	answer := httptest.NewRecorder()
	store.Server().Handler().ServeHTTP(answer, request)
	return handing{whole: first, difference: l.Reply(base), read: float64(answer.Body.Len())}, nil
}

// Lists measures the platform's list as watchers read it, and as instances keep it and
// hand it on: whole, and as the difference of one changed row.
func Lists(r *Report) error {
	reading := Series{Name: "list read bytes", By: "rows", Unit: "B"}
	whole := Series{Name: "list bytes", By: "rows", Unit: "B"}
	difference := Series{Name: "list difference bytes", By: "rows", Unit: "B"}
	memory := Series{Name: "list memory", By: "rows", Unit: "B"}
	cpu := Series{Name: "list difference cpu", By: "rows", Unit: "ns"}
	for _, n := range []int{125, 250, 500, 1000} {
		h, err := handed(n)
		if err != nil {
			return fmt.Errorf("list of %d rows: %w", n, err)
		}
		size := float64(n)
		raw, _ := proto.Marshal(h.whole)
		small, _ := proto.Marshal(h.difference)
		reading.Points = append(reading.Points, Point{size, h.read})
		whole.Points = append(whole.Points, Point{size, float64(len(raw))})
		difference.Points = append(difference.Points, Point{size, float64(len(small))})
		memory.Points = append(memory.Points, Point{size, memoryOf(func() *listing.List { return kept(raw, small) })})
		cpu.Points = append(cpu.Points, Point{size, cpuOf(func() { kept(raw, small) }) - cpuOf(func() { kept(raw) })})
	}
	for _, s := range []Series{reading, whole, difference, memory, cpu} {
		r.Add(s)
	}
	return nil
}

// kept is the list of an instance that was told these replies.
func kept(replies ...[]byte) *listing.List {
	l := newList(nil)
	for _, raw := range replies {
		reply := &peerpb.ListReply{}
		_ = proto.Unmarshal(raw, reply)
		l.ApplyReply(reply)
	}
	return l
}
