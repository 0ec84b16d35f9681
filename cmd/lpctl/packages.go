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

// storeFlag is the flag with the address of the artifact store, embedded in the commands that use the store.
type storeFlag struct {
	Store string `default:"http://127.0.0.1:8730" help:"Address of the artifact store."`
}

func (f storeFlag) client() artifactstore.Client {
	return artifactstore.Client{BaseURL: f.Store, HTTPClient: http.DefaultClient}
}

// publishCmd publishes a package to the artifact store.
type publishCmd struct {
	storeFlag
	Folder string `arg:"" type:"existingdir" help:"Folder of the package, with the manifest from worker pack."`
	Dry    bool   `help:"Publish nothing; print what a worker with the newest release would fetch."`
}

// Run publishes the package and prints how many chunks and bytes of it a worker fetches that has the previous release.
func (c *publishCmd) Run(ctx context.Context, _ *slog.Logger) error {
	p, err := manifest.Open(c.Folder)
	if err != nil {
		return err
	}
	old, baseline := layer.Release{}, "a worker without any release"
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
		baseline = "a worker that has version " + newest.Version
	case !errors.As(err, &status) || status.StatusCode != http.StatusNotFound:
		return err
	}
	if c.Dry {
		next, err := layer.Split(c.Folder, func(layer.ChunkRef, []byte) error { return nil })
		if err != nil {
			return err
		}
		fmt.Printf("%s fetches %s\n", baseline, describeFetch(old, next))
		return nil
	}
	sent, err := c.client().Publish(ctx, c.Folder)
	if err != nil {
		return err
	}
	fmt.Printf("%s version %s, release %.12s: %d chunks, %d sent\n", sent.Name, sent.Version, sent.Digest, sent.Chunks,
		sent.NewChunks)
	fmt.Printf("%s fetches %s\n", baseline, describeFetch(old, sent.Release))
	return nil
}

// describeFetch describes what a worker with release old fetches to get release next.
func describeFetch(old, next layer.Release) string {
	chunks, bytes, all := layer.Diff(old, next)
	percent := 100 * float64(bytes) / float64(max(1, all))
	return fmt.Sprintf("%d chunks, %s of %s (%.1f %%)", chunks, mib(bytes), mib(all), percent)
}

// packageCmd lists, shows and compares releases of packages.
type packageCmd struct {
	List packageListCmd `cmd:"" help:"List the newest release of each package."`
	Show packageShowCmd `cmd:"" help:"Print the manifest, layers and files of a release."`
	Diff packageDiffCmd `cmd:"" help:"Print what a worker with one release would fetch to get another."`
}

// packageListCmd lists the newest release of each package.
type packageListCmd struct{ storeFlag }

// Run prints a table of the packages in the store.
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

// packageShowCmd shows the content of a release.
type packageShowCmd struct {
	storeFlag
	Name    string `arg:""`
	Version string `arg:"" optional:"" help:"Version of the release; the newest by default."`
}

// release fetches a release from the store. An empty version selects the newest release.
func (f storeFlag) release(ctx context.Context, name, version string) (layer.Release, error) {
	encoded, err := f.client().Release(ctx, name, version)
	if err != nil {
		return layer.Release{}, err
	}
	return layer.Decode(encoded)
}

// Run prints the manifest of the release and a table of its files.
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
	Old  string `arg:"" help:"Version that the worker has."`
	New  string `arg:"" optional:"" help:"Version to compare with; the newest by default."`
}

// Run prints, for each file of the new release, how many chunks and bytes the old release lacks.
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
