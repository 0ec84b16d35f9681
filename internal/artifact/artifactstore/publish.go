package artifactstore

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"

	"golang.org/x/sync/errgroup"

	"lupinpond/internal/artifact/layer"
)

// maxConcurrentUploads is the maximum number of chunks that Publish uploads concurrently.
const maxConcurrentUploads = 8

// ErrContentChanged is returned when the content of a package's folder changes while it is published.
var ErrContentChanged = errors.New("the package's content changed while it was published")

// PublishResult describes a published release and the chunks that were uploaded for it.
type PublishResult struct {
	PackageInfo
	Release           layer.Release
	Chunks, NewChunks int   // number of chunks in the release, and how many of them the store did not have
	Bytes, NewBytes   int64 // uncompressed size of these chunks in bytes
}

// Publish splits a package's folder into chunks, uploads the chunks that the store does not have and then publishes the
// release. The previous release stays the newest until then.
func (c Client) Publish(ctx context.Context, folder string) (PublishResult, error) {
	result, err := c.publish(ctx, folder)
	if err != nil {
		return result, fmt.Errorf("publish %s: %w", folder, err)
	}
	return result, nil
}

func (c Client) publish(ctx context.Context, folder string) (result PublishResult, err error) {
	result.Release, err = layer.Split(folder, func(layer.ChunkRef, []byte) error { return nil })
	if err != nil {
		return result, err
	}
	chunks := result.Release.Chunks()
	result.Chunks = len(chunks)
	for _, chunk := range chunks {
		result.Bytes += int64(chunk.Size)
	}
	missing, err := c.missingChunks(ctx, chunks)
	if err != nil {
		return result, err
	}
	uploaded, err := c.uploadChunks(ctx, folder, missing, &result)
	if err != nil {
		return result, err
	}
	encoded, err := layer.Encode(result.Release)
	if err != nil {
		return result, err
	}
	// The folder was read twice: the uploaded chunks must be those that the release references.
	encodedUpload, err := layer.Encode(uploaded)
	if err != nil {
		return result, err
	}
	if !bytes.Equal(encoded, encodedUpload) {
		return result, ErrContentChanged
	}
	err = c.doJSON(ctx, http.MethodPost, "/v1/releases", encoded, maxInfoBytes, &result.PackageInfo)
	return result, err
}

// missingChunks asks the store which of the chunks it does not have, and returns their digests.
func (c Client) missingChunks(ctx context.Context, chunks []layer.ChunkRef) (map[string]bool, error) {
	var digests []string
	for _, chunk := range chunks {
		digests = append(digests, chunk.Digest.String())
	}
	body, err := json.Marshal(digests)
	if err != nil {
		return nil, err
	}
	var missing []string
	if err := c.doJSON(ctx, http.MethodPost, "/v1/missing", body, layer.MaxReleaseSize, &missing); err != nil {
		return nil, err
	}
	set := make(map[string]bool, len(missing))
	for _, digest := range missing {
		set[digest] = true
	}
	return set, nil
}

// uploadChunks splits the folder a second time and uploads each missing chunk as soon as it is read, so that packages
// need not fit into memory. It returns the release of this second split and counts the uploaded chunks in result.
func (c Client) uploadChunks(ctx context.Context, folder string, missing map[string]bool, result *PublishResult,
) (layer.Release, error) {
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(maxConcurrentUploads)
	release, err := layer.Split(folder, func(chunk layer.ChunkRef, content []byte) error {
		digest := chunk.Digest.String()
		if !missing[digest] {
			return ctx.Err()
		}
		delete(missing, digest)
		result.NewChunks++
		result.NewBytes += int64(chunk.Size)
		compressed := layer.Compress(content)
		group.Go(func() error {
			_, err := c.do(ctx, http.MethodPut, "/v1/chunks/"+digest, compressed, maxStatusBytes)
			return err
		})
		return nil
	})
	return release, errors.Join(group.Wait(), err)
}
