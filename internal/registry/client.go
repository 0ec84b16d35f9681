package registry

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"time"

	"lupinpond/internal/base/httpclient"
)

// maxResponseBytes is the maximum size of a response body.
const maxResponseBytes = 16 << 20

// Client is an HTTP client of the registry at BaseURL, such as http://127.0.0.1:8710.
type Client struct {
	BaseURL string
	HTTP    *http.Client
}

// Register registers a worker with a lease of the given duration. Each further call renews the lease.
func (c Client) Register(ctx context.Context, entry Entry, lease time.Duration) error {
	body, err := json.Marshal(entry)
	if err != nil {
		return err
	}
	_, err = c.do(ctx, http.MethodPut, "/v1/workers/"+url.PathEscape(entry.Name)+"?lease="+lease.String(), body)
	return err
}

// SetState sets a worker's state to Draining or Removed, until the worker restarts or Restore is called.
func (c Client) SetState(ctx context.Context, name string, state State) error {
	var operation string
	switch state {
	case Draining:
		operation = "drain"
	case Removed:
		operation = "gone"
	default:
		return fmt.Errorf("worker state cannot be set to %q", state)
	}
	return c.change(ctx, name, operation)
}

// Restore ends the effect of SetState on a worker: its next registration determines its state.
func (c Client) Restore(ctx context.Context, name string) error {
	return c.change(ctx, name, "restore")
}

func (c Client) change(ctx context.Context, name, operation string) error {
	_, err := c.do(ctx, http.MethodPost, "/v1/workers/"+url.PathEscape(name)+"/"+operation, nil)
	return err
}

// Workers returns the current endpoint list without removed workers.
func (c Client) Workers(ctx context.Context) ([]Entry, error) {
	body, err := c.do(ctx, http.MethodGet, "/v1/workers", nil)
	if err != nil {
		return nil, err
	}
	var entries []Entry
	if err := json.Unmarshal(body, &entries); err != nil {
		return nil, errors.Join(errors.New("registry sent an invalid endpoint list"), err)
	}
	return entries, nil
}

func (c Client) do(ctx context.Context, method, path string, body []byte) ([]byte, error) {
	response, err := httpclient.Do(ctx, c.HTTP, method, c.BaseURL+path, body, maxResponseBytes)
	if err != nil {
		return nil, fmt.Errorf("registry: %w", err)
	}
	return response, nil
}
