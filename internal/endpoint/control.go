package endpoint

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"

	"github.com/chiveramp/chiveramp/internal/core/fleet"
)

// State returns an engine's resident models, memory use and fence.
func (c *Client) State(ctx context.Context, addr string) (State, error) {
	var reply State
	err := c.doControl(ctx, "state", addr, http.MethodGet, PathState, nil, &reply)
	return reply, err
}

// Load returns an engine's load report, which may be some time old.
func (c *Client) Load(ctx context.Context, addr string) (Load, error) {
	var reply Load
	err := c.doControl(ctx, "load", addr, http.MethodGet, PathLoad, nil, &reply)
	return reply, err
}

// Order sends an order. ErrStaleFence, ErrNoMemory and ErrNotSent prove that it had no
// effect. After any other error it may still take effect, even later.
func (c *Client) Order(ctx context.Context, addr string, order Order) (OrderReply, error) {
	var reply OrderReply
	err := c.doControl(ctx, "order", addr, http.MethodPost, PathOrders, order, &reply)
	return reply, err
}

// Events returns the prefix cache events that follow event number after.
func (c *Client) Events(ctx context.Context, addr string, after uint64) (CacheEvents, error) {
	var reply CacheEvents
	path := PathEvents + "?after=" + strconv.FormatUint(after, 10)
	err := c.doControl(ctx, "events", addr, http.MethodGet, path, nil, &reply)
	return reply, err
}

// Models returns the models that an engine serves.
func (c *Client) Models(ctx context.Context, addr string) ([]fleet.Model, error) {
	var reply ModelList
	err := c.doControl(ctx, "models", addr, http.MethodGet, PathModels, nil, &reply)
	if err != nil {
		return nil, err
	}
	models := make([]fleet.Model, 0, len(reply.Data))
	for _, card := range reply.Data {
		models = append(models, fleet.Model(card.ID))
	}
	return models, nil
}

// Health returns nil when the endpoint accepts requests, and an error that wraps
// ErrLeaving when it is draining to leave.
func (c *Client) Health(ctx context.Context, addr string) error {
	return c.doControl(ctx, "health", addr, http.MethodGet, PathHealth, nil, nil)
}

// Export returns an engine's KV cache blocks of a prompt, to be imported by another
// engine.
func (c *Client) Export(ctx context.Context, addr string, query CacheQuery) ([]byte, error) {
	var reply []byte
	err := c.doControl(ctx, "export", addr, http.MethodPost, PathExport, query, &reply)
	return reply, err
}

// Import sends exported KV cache blocks to an engine.
func (c *Client) Import(ctx context.Context, addr string, blocks []byte) error {
	return c.doControl(ctx, "import", addr, http.MethodPost, PathImport, blocks, nil)
}

// doControl sends one control request. It decodes the response into reply: a *[]byte gets
// the raw body, another pointer the JSON value, and nil ignores the body.
func (c *Client) doControl(ctx context.Context, step, addr, method, path string, body, reply any) error {
	request, err := newRequest(ctx, method, addr, path)
	if err != nil {
		return stepError(step, addr, errors.Join(ErrNotSent, err))
	}
	if err = encodeBody(request, body); err != nil {
		return stepError(step, addr, errors.Join(ErrNotSent, err))
	}
	response, x, err := c.send(step, addr, request)
	if err != nil {
		return err
	}
	defer drainAndClose(response)
	if response.StatusCode >= http.StatusBadRequest {
		return x.fail(responseError(response))
	}
	if err = c.decodeBody(response, reply); err != nil {
		return x.fail(err)
	}
	x.span.End()
	return nil
}

func encodeBody(request *http.Request, body any) error {
	if body == nil {
		return nil
	}
	data, raw := body.([]byte)
	kind := "application/octet-stream"
	if !raw {
		encoded, err := json.Marshal(body)
		if err != nil {
			return fmt.Errorf("encode request: %w", err)
		}
		data, kind = encoded, "application/json"
	}
	request.Header.Set("Content-Type", kind)
	setBytes(request, data)
	return nil
}

func (c *Client) decodeBody(response *http.Response, reply any) error {
	data, err := io.ReadAll(io.LimitReader(response.Body, c.settings.bodyLimit+1))
	if err != nil {
		return errors.Join(ErrInterrupted, err)
	}
	if int64(len(data)) > c.settings.bodyLimit {
		return ErrTooLarge
	}
	switch to := reply.(type) {
	case nil:
		return nil
	case *[]byte:
		*to = data
		return nil
	}
	if err = json.Unmarshal(data, reply); err != nil {
		return fmt.Errorf("decode response: %w", err)
	}
	return nil
}
