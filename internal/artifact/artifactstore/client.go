package artifactstore

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"

	"golang.org/x/sync/errgroup"

	"lupinpond/internal/artifact/layer"
	"lupinpond/internal/base/httpclient"
)

// Client asks a store at Base, such as http://127.0.0.1:8730.
type Client struct {
	BaseURL    string
	HTTPClient *http.Client
}

// Chunk fetches a chunk's packed form, not verified.
func (c Client) Chunk(ctx context.Context, d layer.Digest) ([]byte, error) {
	return c.do(ctx, http.MethodGet, "/v1/chunks/"+d.String(), nil, layer.MaxCompressedSize)
}

// Packages are the newest releases.
func (c Client) Packages(ctx context.Context) (all []PackageInfo, err error) {
	b, err := c.do(ctx, http.MethodGet, "/v1/packages", nil, layer.MaxReleaseSize)
	if err == nil {
		err = json.Unmarshal(b, &all)
	}
	return all, err
}

// Release fetches an encoded release; version "" is the newest.
func (c Client) Release(ctx context.Context, name, version string) ([]byte, error) {
	path := "/v1/packages/" + url.PathEscape(name)
	if version != "" {
		path += "/" + url.PathEscape(version)
	}
	return c.do(ctx, http.MethodGet, path, nil, layer.MaxReleaseSize)
}

// Stats tells what the store did.
func (c Client) Stats(ctx context.Context) (n Stats, err error) {
	b, err := c.do(ctx, http.MethodGet, "/v1/counts", nil, 64<<10)
	if err == nil {
		err = json.Unmarshal(b, &n)
	}
	return n, err
}

// PublishResult tells what publishing sent.
type PublishResult struct {
	PackageInfo
	Release           layer.Release
	Chunks, NewChunks int // of the release, and those that the store did not have
	Bytes, NewBytes   int64
}

const maxConcurrentUploads = 8 // at a time

// Publish cuts a package's folder and sends what the store does not have, then the release. While it is not through, the
// old release stays the newest.
func (c Client) Publish(ctx context.Context, folder string) (sent PublishResult, err error) {
	r, err := layer.Split(folder, func(layer.ChunkRef, []byte) error { return nil })
	if err != nil {
		return sent, fmt.Errorf("publish %s: %w", folder, err)
	}
	var names []string
	for _, ref := range r.Chunks() {
		names = append(names, ref.Digest.String())
		sent.Chunks++
		sent.Bytes += int64(ref.Size)
	}
	body, err := json.Marshal(names)
	if err != nil {
		return sent, err
	}
	b, err := c.do(ctx, http.MethodPost, "/v1/missing", body, layer.MaxReleaseSize)
	if err != nil {
		return sent, fmt.Errorf("publish %s: %w", folder, err)
	}
	var missing []string
	if err := json.Unmarshal(b, &missing); err != nil {
		return sent, fmt.Errorf("publish %s: %w", folder, err)
	}
	wanted := map[string]bool{}
	for _, n := range missing {
		wanted[n] = true
	}
	g, gctx := errgroup.WithContext(ctx)
	g.SetLimit(maxConcurrentUploads)
	again, err := layer.Split(folder, func(ref layer.ChunkRef, content []byte) error {
		name := ref.Digest.String()
		if !wanted[name] {
			return gctx.Err()
		}
		delete(wanted, name)
		sent.NewChunks++
		sent.NewBytes += int64(ref.Size)
		packed := layer.Compress(content)
		g.Go(func() error {
			_, err := c.do(gctx, http.MethodPut, "/v1/chunks/"+name, packed, 4096)
			return err
		})
		return nil
	})
	if err = errors.Join(g.Wait(), err); err != nil {
		return sent, fmt.Errorf("publish %s: %w", folder, err)
	}
	first, err := layer.Encode(r)
	if err != nil {
		return sent, err
	}
	sent.Release = r
	second, err := layer.Encode(again)
	if err != nil {
		return sent, err
	}
	if !bytes.Equal(first, second) {
		return sent, fmt.Errorf("publish %s: the content changed while it was sent", folder)
	}
	if b, err = c.do(ctx, http.MethodPost, "/v1/releases", first, 64<<10); err == nil {
		err = json.Unmarshal(b, &sent.PackageInfo)
	}
	if err != nil {
		return sent, fmt.Errorf("publish %s: %w", folder, err)
	}
	return sent, nil
}

func (c Client) do(ctx context.Context, method, path string, body []byte, most int64) ([]byte, error) {
	b, err := httpclient.Do(ctx, c.HTTPClient, method, c.BaseURL+path, body, most)
	if err != nil {
		return nil, fmt.Errorf("store: %w", err)
	}
	return b, nil
}
