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

// Members implements Store. A member whose check is critical is left out; one
// in maintenance is leaving.
func (h *HTTP) Members(ctx context.Context, service string) ([]Member, error) {
	path := "/v1/health/service/" + url.PathEscape(service)
	r, err := h.send(ctx, request{kind: KindMembers, method: http.MethodGet, path: path})
	if err != nil {
		return nil, fmt.Errorf("%s: %w", service, err)
	}
	if r.status == http.StatusNotFound {
		return nil, nil
	}
	var rows []wire.ServiceEntry
	if err := h.decode(KindMembers, r.body, &rows); err != nil {
		return nil, fmt.Errorf("%s: %w", service, err)
	}
	members := make([]Member, 0, len(rows))
	for _, row := range rows {
		if state, listed := stateOf(row.Checks); listed {
			members = append(members, memberOf(row, state))
		}
	}
	return members, nil
}

func stateOf(checks []wire.Check) (state MemberState, listed bool) {
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

func memberOf(row wire.ServiceEntry, state MemberState) Member {
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
