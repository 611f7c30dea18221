package platform

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"github.com/chiveramp/chiveramp/internal/platform/wire"
)

// Members implements Store. A member with a critical health check is left out; one in
// maintenance mode is listed as leaving.
func (h *HTTP) Members(ctx context.Context, service string) ([]Member, error) {
	list, err := h.Watch(ctx, MemberQuery{Service: service})
	return list.Members, err
}

// Watch implements Store with a blocking query. Consul may extend the wait by up to 1/16.
func (h *HTTP) Watch(ctx context.Context, q MemberQuery) (MemberList, error) {
	kind, query := KindMembers, url.Values{}
	if q.DataCentre != "" {
		query.Set("filter", wire.FilterDataCentre+strconv.Quote(q.DataCentre))
	}
	if q.After > 0 {
		kind = KindWatch
		query.Set("index", strconv.FormatUint(q.After, 10))
		query.Set("wait", q.Wait.String())
	}
	path := "/v1/health/service/" + url.PathEscape(q.Service)
	r, err := h.doRequest(ctx, request{kind: kind, method: http.MethodGet, path: path, query: query})
	if err != nil {
		return MemberList{}, fmt.Errorf("%s: %w", q.Service, err)
	}
	index, _ := strconv.ParseUint(r.header.Get(wire.HeaderIndex), 10, 64)
	list := MemberList{Index: max(index, 1)}
	if r.status == http.StatusNotFound {
		return list, nil
	}
	var rows []wire.ServiceEntry
	if err := h.decode(kind, r.body, &rows); err != nil {
		return MemberList{}, fmt.Errorf("%s: %w", q.Service, err)
	}
	list.Members = healthyMembers(rows)
	return list, nil
}

func healthyMembers(rows []wire.ServiceEntry) []Member {
	members := make([]Member, 0, len(rows))
	for _, row := range rows {
		if state, ok := memberState(row.Checks); ok {
			members = append(members, newMember(row, state))
		}
	}
	return members
}

func memberState(checks []wire.Check) (state MemberState, healthy bool) {
	state = MemberLive
	for _, c := range checks {
		if c.Status == wire.StatusMaintenance || strings.HasPrefix(c.CheckID, wire.CheckMaintenance) {
			return MemberLeaving, true
		}
	}
	for _, c := range checks {
		if c.Status == wire.StatusCritical {
			return "", false
		}
	}
	return state, true
}

func newMember(row wire.ServiceEntry, state MemberState) Member {
	host := row.Service.Address
	if host == "" {
		host = row.Node.Address
	}
	return Member{
		Name:        row.Service.ID,
		Service:     row.Service.Service,
		Address:     net.JoinHostPort(host, strconv.Itoa(row.Service.Port)),
		Region:      row.Service.Meta[wire.MetaRegion],
		DataCentre:  row.Node.Datacenter,
		Incarnation: row.Service.Meta[wire.MetaIncarnation],
		State:       state,
		Meta:        row.Service.Meta,
	}
}
