package platform

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/chiveramp/chiveramp/internal/platform/wire"
)

// Grant implements Store. Keys held by the lease are released when it expires; they are not
// deleted, so that their fences keep rising.
func (h *HTTP) Grant(ctx context.Context, name string, ttl time.Duration) (LeaseID, error) {
	body := wire.SessionRequest{
		Name:       name,
		TTL:        ttl.String(),
		LockDelay:  "0s",
		Behavior:   "release",
		NodeChecks: []string{},
	}
	r, err := h.doRequest(ctx, request{kind: KindGrant, method: http.MethodPut, path: "/v1/session/create", body: body})
	if err != nil {
		return "", fmt.Errorf("%s: %w", name, err)
	}
	var created wire.SessionReply
	if err := h.decode(KindGrant, r.body, &created); err != nil {
		return "", fmt.Errorf("%s: %w", name, err)
	}
	return LeaseID(created.ID), nil
}

// Renew implements Store.
func (h *HTTP) Renew(ctx context.Context, id LeaseID) error {
	return h.putSession(ctx, KindRenew, "/v1/session/renew/", id)
}

// Revoke implements Store. Revoking an expired lease is not an error.
func (h *HTTP) Revoke(ctx context.Context, id LeaseID) error {
	return h.putSession(ctx, KindRevoke, "/v1/session/destroy/", id)
}

func (h *HTTP) putSession(ctx context.Context, kind Kind, path string, id LeaseID) error {
	r, err := h.doRequest(ctx, request{kind: kind, method: http.MethodPut, path: path + string(id)})
	if err != nil {
		return fmt.Errorf("lease %s: %w", id, err)
	}
	if r.status == http.StatusNotFound && kind == KindRenew {
		return fmt.Errorf("store %s %s lease %s: %w", h.address, kind, id, ErrNotFound)
	}
	return nil
}
