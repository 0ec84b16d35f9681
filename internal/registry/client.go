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

const maxResponseBytes = 16 << 20

// Client asks a list at Base, such as http://127.0.0.1:8710.
type Client struct {
	BaseURL string
	HTTP    *http.Client
}

// Register puts an entry on the list for so long; it is renewed by the next Put.
func (c Client) Register(ctx context.Context, e Entry, lease time.Duration) error {
	body, err := json.Marshal(e)
	if err != nil {
		return err
	}
	_, err = c.do(ctx, http.MethodPut, "/v1/workers/"+url.PathEscape(e.Name)+"?lease="+lease.String(), body)
	return err
}

// SetState sets a worker's state to Draining or Gone.
func (c Client) SetState(ctx context.Context, name string, s State) error {
	path, is := map[State]string{Draining: "drain", Removed: "gone"}[s]
	if !is {
		return fmt.Errorf("a worker can't be marked as %q", s)
	}
	_, err := c.do(ctx, http.MethodPost, "/v1/workers/"+url.PathEscape(name)+"/"+path, nil)
	return err
}

// Workers is the present list, gone ones left out.
func (c Client) Workers(ctx context.Context) ([]Entry, error) {
	text, err := c.do(ctx, http.MethodGet, "/v1/workers", nil)
	if err != nil {
		return nil, err
	}
	var entries []Entry
	if err := json.Unmarshal(text, &entries); err != nil {
		return nil, errors.Join(errors.New("registry sent no list"), err)
	}
	return entries, nil
}

func (c Client) do(ctx context.Context, method, path string, body []byte) ([]byte, error) {
	b, err := httpclient.Do(ctx, c.HTTP, method, c.BaseURL+path, body, maxResponseBytes)
	if err != nil {
		return nil, fmt.Errorf("registry: %w", err)
	}
	return b, nil
}
