package gateway

import (
	"context"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/chiveramp/chiveramp/internal/core/catalog"
	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/core/origin"
)

// Origins tells which version of a service's software began a stream, at whatever instance.
type Origins interface {
	// StreamBegan records that the first event of a stream is about to be passed on.
	StreamBegan(ctx context.Context, s origin.Stream)
	// Origin returns the version that began a stream. The error is ErrUnknownOrigin if that isn't
	// known and several versions may have.
	Origin(ctx context.Context, service catalog.Service, id string) (fleet.Software, error)
}

// maxStreamID bounds the bytes of an ID that instances remember of a stream.
const maxStreamID = 64

// streamID returns the ID by which a caller names the request's stream when it takes it up, or the
// hash of a long one.
func (r *Request) streamID() string {
	id := r.ID
	if r.After != "" && r.Resumes != "" {
		id = r.Resumes
	}
	if len(id) > maxStreamID {
		return strconv.FormatUint(xxhash.Sum64String(id), 16)
	}
	return id
}

// bindToOrigin binds the rest of a stream that the caller takes up to the version that began it.
func (j *job) bindToOrigin(ctx context.Context) error {
	if j.request.After == "" || !j.route.Resumable {
		return nil
	}
	id := ""
	if j.request.Resumes != "" {
		id = j.request.streamID()
	}
	software, err := j.gateway.fleet.Origin(ctx, j.service, id)
	if err != nil {
		return err
	}
	j.delivery.software = &software
	return nil
}

// announceStream records which version writes the stream, before its first event is passed on.
func (a *attempt) announceStream(ctx context.Context) {
	j := a.job
	if j.route.Resumable && !j.delivery.begun() {
		j.gateway.fleet.StreamBegan(ctx, origin.Stream{Service: j.service, ID: j.request.streamID(), Software: a.target.Software})
	}
}
