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
	fetchPause = 200 * time.Millisecond
	farAhead   = 1000 * time.Hour
)

// WithWeights makes the engine load from a weight store at an address, in place
// of a fixed time.
func WithWeights(address string) Option { return func(s *Server) { s.weights = address } }

// fetch loads a resident from the weight store. It tries until it succeeds or
// the engine ends; the resident holds its memory all the time.
func (s *Server) fetch(r *resident) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	stopped := make(chan struct{})
	s.web.Go(func() error {
		defer close(stopped)
		select {
		case <-s.stop:
			cancel()
		case <-ctx.Done():
		}
		return nil
	})
	for ctx.Err() == nil && !s.fetchOnce(ctx, r) {
		select {
		case <-ctx.Done():
		case <-time.After(fetchPause):
		}
	}
	cancel()
	<-stopped
	s.mu.Lock()
	defer s.mu.Unlock()
	r.ready = s.now()
	s.settle(r.ready)
	return nil
}

func (s *Server) fetchOnce(ctx context.Context, r *resident) bool {
	path := weights.PathModels + url.PathEscape(string(r.model))
	if r.adapter != "" {
		path = weights.PathAdapters + url.PathEscape(string(r.adapter))
	}
	target := fmt.Sprintf("http://%s%s?bytes=%d", s.weights, path, r.bytes)
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
