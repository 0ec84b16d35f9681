package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net/http"

	"github.com/jedib0t/go-pretty/v6/table"

	"lupinpond/internal/artifact/artifactstore"
	"lupinpond/internal/artifact/layer"
	"lupinpond/internal/artifact/manifest"
	"lupinpond/internal/base/httpclient"
)

// storeFlag is the address of the artifact store.
type storeFlag struct {
	Store string `default:"http://127.0.0.1:8730" help:"Address of the artifact store."`
}

func (f storeFlag) client() artifactstore.Client {
	return artifactstore.Client{BaseURL: f.Store, HTTPClient: http.DefaultClient}
}

// publishCmd publishes a package.
type publishCmd struct {
	storeFlag
	Folder string `arg:"" type:"existingdir" help:"The package: its content and the manifest that worker pack has written."`
	Dry    bool   `help:"Send nothing; say what a worker that has the newest release would fetch."`
}

// Run publishes a package and says what its release makes workers fetch.
func (c *publishCmd) Run(ctx context.Context, _ *slog.Logger) error {
	p, err := manifest.Open(c.Folder)
	if err != nil {
		return err
	}
	old, since := layer.Release{}, "a worker without any release"
	encoded, err := c.client().Release(ctx, p.Name, "")
	var status *httpclient.StatusError
	switch {
	case err == nil:
		if old, err = layer.Decode(encoded); err != nil {
			return err
		}
		newest, err := old.ParseManifest()
		if err != nil {
			return err
		}
		since = "a worker that has version " + newest.Version
	case !errors.As(err, &status) || status.StatusCode != http.StatusNotFound:
		return err
	}
	if c.Dry {
		next, err := layer.Split(c.Folder, func(layer.ChunkRef, []byte) error { return nil })
		if err != nil {
			return err
		}
		fmt.Printf("%s fetches %s\n", since, describeFetch(old, next))
		return nil
	}
	sent, err := c.client().Publish(ctx, c.Folder)
	if err != nil {
		return err
	}
	fmt.Printf("%s version %s, release %.12s: %d chunks, %d sent\n", sent.Name, sent.Version, sent.Digest, sent.Chunks,
		sent.NewChunks)
	fmt.Printf("%s fetches %s\n", since, describeFetch(old, sent.Release))
	return nil
}

// describeFetch says what a worker that has one release fetches for another.
func describeFetch(old, next layer.Release) string {
	chunks, bytes, all := layer.Diff(old, next)
	percent := 100 * float64(bytes) / float64(max(1, all))
	return fmt.Sprintf("%d chunks, %s of %s (%.1f %%)", chunks, mib(bytes), mib(all), percent)
}

// packageCmd looks at packages.
type packageCmd struct {
	List packageListCmd `cmd:"" help:"The newest release of every package."`
	Show packageShowCmd `cmd:"" help:"What a release consists of."`
	Diff packageDiffCmd `cmd:"" help:"What a worker that has one release would fetch for another."`
}

// packageListCmd lists packages.
type packageListCmd struct{ storeFlag }

// Run lists packages.
func (c *packageListCmd) Run(ctx context.Context, _ *slog.Logger) error {
	releases, err := c.client().Packages(ctx)
	if err != nil {
		return err
	}
	t := newTable("package", "version", "release")
	for _, release := range releases {
		t.AppendRow(table.Row{release.Name, release.Version, release.Digest[:12]})
	}
	t.Render()
	return nil
}

// packageShowCmd shows a release.
type packageShowCmd struct {
	storeFlag
	Name    string `arg:""`
	Version string `arg:"" optional:"" help:"The newest unless named."`
}

// release fetches a release; an empty version is the newest one.
func (f storeFlag) release(ctx context.Context, name, version string) (layer.Release, error) {
	encoded, err := f.client().Release(ctx, name, version)
	if err != nil {
		return layer.Release{}, err
	}
	return layer.Decode(encoded)
}

// Run shows a release.
func (c *packageShowCmd) Run(ctx context.Context, _ *slog.Logger) error {
	release, err := c.release(ctx, c.Name, c.Version)
	if err != nil {
		return err
	}
	fmt.Printf("%s", release.Manifest)
	t := newTable("layer", "file", "bytes", "chunks")
	for _, layer := range release.Layers {
		for _, file := range layer.Files {
			t.AppendRow(table.Row{layer.Name, file.Path, file.Size(), len(file.Chunks)})
		}
	}
	t.Render()
	fmt.Printf("%d chunks, %s\n", len(release.Chunks()), mib(release.Size()))
	return nil
}

// packageDiffCmd compares two releases.
type packageDiffCmd struct {
	storeFlag
	Name string `arg:""`
	Old  string `arg:"" help:"A version."`
	New  string `arg:"" optional:"" help:"Another; the newest unless named."`
}

// Run compares two releases, file by file.
func (c *packageDiffCmd) Run(ctx context.Context, _ *slog.Logger) error {
	old, err := c.release(ctx, c.Name, c.Old)
	if err != nil {
		return err
	}
	next, err := c.release(ctx, c.Name, c.New)
	if err != nil {
		return err
	}
	oldChunks := old.ChunkSet()
	t := newTable("layer", "file", "chunks", "new", "new bytes")
	for _, layer := range next.Layers {
		for _, file := range layer.Files {
			count, bytes := 0, 0
			for _, chunk := range file.Chunks {
				if !oldChunks[chunk.Digest] {
					count++
					bytes += chunk.Size
				}
			}
			t.AppendRow(table.Row{layer.Name, file.Path, len(file.Chunks), count, bytes})
		}
	}
	t.Render()
	fmt.Println(describeFetch(old, next))
	return nil
}
