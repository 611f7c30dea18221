package gateway

import (
	"context"

	"github.com/chiveramp/chiveramp/internal/core/catalog"
	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/core/origin"
)

// Origins tells which version of a service's software began a stream, at whatever instance.
type Origins interface {
	// StreamBegan records that the first event of a stream was passed on.
	StreamBegan(s origin.Stream)
	// Origin returns the version that began a stream, nil if none is known to serve. The error is
	// ErrUnknownOrigin if that isn't known and several versions may have.
	Origin(ctx context.Context, service catalog.Service, id string) (*fleet.Software, error)
}

// streamID returns the ID by which a caller names the request's stream when it takes it up.
func (r *Request) streamID() string {
	if r.After != "" && r.Resumes != "" {
		return r.Resumes
	}
	return r.ID
}

// bindToOrigin binds the rest of a stream that the caller takes up to the version that began it.
func (j *job) bindToOrigin(ctx context.Context) error {
	if j.request.After == "" || !j.route.Resumable {
		return nil
	}
	software, err := j.gateway.fleet.Origin(ctx, j.service, j.request.Resumes)
	if err != nil {
		return err
	}
	j.delivery.software = software
	return nil
}

// announceStream records which version writes the stream, before its first event is passed on.
func (a *attempt) announceStream() {
	j := a.job
	if j.route.Resumable && !j.delivery.begun() {
		j.gateway.fleet.StreamBegan(origin.Stream{Service: j.service, ID: j.request.streamID(), Software: a.target.Software})
	}
}
