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

type storeFlag struct {
	Store string `default:"http://127.0.0.1:8730" help:"Address of the artifact store."`
}

func (f storeFlag) client() artifactstore.Client {
	return artifactstore.Client{BaseURL: f.Store, HTTPClient: http.DefaultClient}
}

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
	b, err := c.client().Release(ctx, p.Name, "")
	var refused *httpclient.StatusError
	switch {
	case err == nil:
		if old, err = layer.Decode(b); err != nil {
			return err
		}
		m, err := old.ParseManifest()
		if err != nil {
			return err
		}
		since = "a worker that has version " + m.Version
	case !errors.As(err, &refused) || refused.StatusCode != http.StatusNotFound:
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
	fmt.Printf("%s version %s, release %.12s: %d chunks, %d sent\n", sent.Name, sent.Version, sent.Digest, sent.Chunks, sent.NewChunks)
	fmt.Printf("%s fetches %s\n", since, describeFetch(old, sent.Release))
	return nil
}

// describeFetch says what a worker that has one release fetches for another.
func describeFetch(old, next layer.Release) string {
	chunks, bytes, all := layer.Diff(old, next)
	return fmt.Sprintf("%d chunks, %s of %s (%.1f %%)", chunks, mib(bytes), mib(all), 100*float64(bytes)/float64(max(1, all)))
}

func mib(n int64) string { return fmt.Sprintf("%.2f MiB", float64(n)/(1<<20)) }

type packageCmd struct {
	List packageListCmd `cmd:"" help:"The newest release of every package."`
	Show packageShowCmd `cmd:"" help:"What a release consists of."`
	Diff packageDiffCmd `cmd:"" help:"What a worker that has one release would fetch for another."`
}

type packageListCmd struct{ storeFlag }

// Run lists packages.
func (c *packageListCmd) Run(ctx context.Context, _ *slog.Logger) error {
	all, err := c.client().Packages(ctx)
	if err != nil {
		return err
	}
	t := newTable("package", "version", "release")
	for _, e := range all {
		t.AppendRow(table.Row{e.Name, e.Version, e.Digest[:12]})
	}
	t.Render()
	return nil
}

type packageShowCmd struct {
	storeFlag
	Name    string `arg:""`
	Version string `arg:"" optional:"" help:"The newest unless named."`
}

func (f storeFlag) release(ctx context.Context, name, version string) (layer.Release, error) {
	b, err := f.client().Release(ctx, name, version)
	if err != nil {
		return layer.Release{}, err
	}
	return layer.Decode(b)
}

// Run shows a release.
func (c *packageShowCmd) Run(ctx context.Context, _ *slog.Logger) error {
	r, err := c.release(ctx, c.Name, c.Version)
	if err != nil {
		return err
	}
	fmt.Printf("%s", r.Manifest)
	t := newTable("layer", "file", "bytes", "chunks")
	for _, l := range r.Layers {
		for _, f := range l.Files {
			t.AppendRow(table.Row{l.Name, f.Path, f.Size(), len(f.Chunks)})
		}
	}
	t.Render()
	fmt.Printf("%d chunks, %s\n", len(r.Chunks()), mib(r.Size()))
	return nil
}

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
	have := old.ChunkSet()
	t := newTable("layer", "file", "chunks", "new", "new bytes")
	for _, l := range next.Layers {
		for _, f := range l.Files {
			n, size := 0, 0
			for _, x := range f.Chunks {
				if !have[x.Digest] {
					n, size = n+1, size+x.Size
				}
			}
			t.AppendRow(table.Row{l.Name, f.Path, len(f.Chunks), n, size})
		}
	}
	t.Render()
	fmt.Println(describeFetch(old, next))
	return nil
}
