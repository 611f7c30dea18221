package engine

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"time"

	"github.com/chiveramp/chiveramp/internal/standin/weights"
)

const (
	fetchRetryInterval = 200 * time.Millisecond
	farFuture          = 1000 * time.Hour // ready time of a resident that is still loading
)

// WithWeightStore makes the engine load weights from the store at the address,
// instead of taking a fixed load time.
func WithWeightStore(address string) Option { return func(s *Server) { s.weightStore = address } }

// fetchWeights loads a resident from the weight store, with retries until it
// succeeds or the engine stops. The resident occupies its memory from the start.
func (s *Server) fetchWeights(r *resident) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	watcherDone := make(chan struct{})
	s.web.Go(func() error {
		defer close(watcherDone)
		select {
		case <-s.stop:
			cancel()
		case <-ctx.Done():
		}
		return nil
	})
	for ctx.Err() == nil && !s.tryFetch(ctx, r) {
		select {
		case <-ctx.Done():
		case <-time.After(fetchRetryInterval):
		}
	}
	cancel()
	<-watcherDone
	s.mu.Lock()
	defer s.mu.Unlock()
	r.readyAt = s.now()
	s.refresh(r.readyAt)
	return nil
}

// tryFetch makes one download attempt and reports whether it succeeded.
func (s *Server) tryFetch(ctx context.Context, r *resident) bool {
	path := weights.PathModels + url.PathEscape(string(r.model))
	if r.adapter != "" {
		path = weights.PathAdapters + url.PathEscape(string(r.adapter))
	}
	target := fmt.Sprintf("http://%s%s?bytes=%d", s.weightStore, path, r.bytes)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target, http.NoBody)
	if err != nil {
		return false
	}
	request.Close = true
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusNoContent
}
