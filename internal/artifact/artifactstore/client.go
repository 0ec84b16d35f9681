package artifactstore

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"

	"lupinpond/internal/artifact/layer"
	"lupinpond/internal/base/httpclient"
)

const (
	maxStatsBytes  = 64 << 10 // maximum size of a response with counters
	maxInfoBytes   = 64 << 10 // maximum size of a response with a PackageInfo
	maxStatusBytes = 4096     // maximum size of a response without content
)

// Client calls the HTTP API of the store at BaseURL, for example http://127.0.0.1:8730. An error response is returned
// as an *httpclient.StatusError.
type Client struct {
	BaseURL    string
	HTTPClient *http.Client
}

// Chunk fetches a compressed chunk. The caller must verify it.
func (c Client) Chunk(ctx context.Context, digest layer.Digest) ([]byte, error) {
	return c.do(ctx, http.MethodGet, "/v1/chunks/"+digest.String(), nil, layer.MaxCompressedSize)
}

// Packages fetches the name, version and digest of the newest release of each package.
func (c Client) Packages(ctx context.Context) (packages []PackageInfo, err error) {
	err = c.doJSON(ctx, http.MethodGet, "/v1/packages", nil, layer.MaxReleaseSize, &packages)
	return packages, err
}

// Release fetches an encoded release. An empty version means the newest.
func (c Client) Release(ctx context.Context, name, version string) ([]byte, error) {
	path := "/v1/packages/" + url.PathEscape(name)
	if version != "" {
		path += "/" + url.PathEscape(version)
	}
	return c.do(ctx, http.MethodGet, path, nil, layer.MaxReleaseSize)
}

// Stats fetches the store's counters.
func (c Client) Stats(ctx context.Context) (stats Stats, err error) {
	err = c.doJSON(ctx, http.MethodGet, "/v1/counts", nil, maxStatsBytes, &stats)
	return stats, err
}

// doJSON sends a request and decodes the JSON response into result.
func (c Client) doJSON(ctx context.Context, method, path string, body []byte, maxBytes int64, result any) error {
	answer, err := c.do(ctx, method, path, body, maxBytes)
	if err != nil {
		return err
	}
	return json.Unmarshal(answer, result)
}

func (c Client) do(ctx context.Context, method, path string, body []byte, maxBytes int64) ([]byte, error) {
	answer, err := httpclient.Do(ctx, c.HTTPClient, method, c.BaseURL+path, body, maxBytes)
	if err != nil {
		return nil, fmt.Errorf("store: %w", err)
	}
	return answer, nil
}
