package load

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/chiveramp/chiveramp/internal/sse"
	"github.com/chiveramp/chiveramp/pkg/client"
)

const (
	endOfStream   = "[DONE]"
	maxEventBytes = 1 << 20 // bytes
)

// Direct sends streaming calls to an endpoint without passing through the
// system, as a baseline for its overhead.
type Direct struct {
	address    string
	httpClient *http.Client
	validate   Validator
}

// NewDirect returns a target for the endpoint at the given address (host:port).
func NewDirect(address string, h *http.Client, validate Validator) *Direct {
	return &Direct{address: address, httpClient: h, validate: validate}
}

// Send sends one call to the endpoint.
func (d *Direct) Send(ctx context.Context, call Call) Sample {
	sample, start := newSample(call), time.Now()
	response, err := d.post(ctx, call)
	if err != nil {
		sample.Total = time.Since(start)
		return sample.withError(err)
	}
	defer func() { _ = response.Body.Close() }()
	events := sse.NewReader(response.Body, maxEventBytes)
	var text strings.Builder
	for sample.Outcome == "" {
		event, err := events.Next()
		if err != nil {
			sample.Total = time.Since(start)
			return sample.withError(err)
		}
		part := answerText(event.Data)
		if part != "" && text.Len() == 0 {
			sample.FirstToken = time.Since(start)
		}
		text.WriteString(part)
		if string(event.Data) == endOfStream {
			sample.Outcome = client.OutcomeRan
		}
	}
	events.Drain()
	sample.Total = time.Since(start)
	return sample.withResult(d.validate(call, text.String()))
}

func (d *Direct) post(ctx context.Context, call Call) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+d.address+pathChat, bytes.NewReader(call.requestBody()))
	if err != nil {
		return nil, fmt.Errorf("send %s: %w", d.address, err)
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := d.httpClient.Do(request)
	if err != nil {
		return nil, fmt.Errorf("send %s: %w", d.address, err)
	}
	if response.StatusCode != http.StatusOK {
		_ = response.Body.Close()
		return nil, fmt.Errorf("send %s: status %d", d.address, response.StatusCode)
	}
	return response, nil
}
