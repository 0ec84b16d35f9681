package main

import (
	"context"
	"fmt"
	"path/filepath"
	"time"

	"lupinpond/internal/artifact/manifest"
	"lupinpond/internal/base/config"
	"lupinpond/internal/worker/runner"
)

// packCmd is the subcommand that writes a package's manifest.
type packCmd struct {
	Folder      string        `arg:"" type:"existingdir" help:"The package's folder, with its entry in it."`
	Name        string        `required:"" help:"The function's name."`
	Version     string        `required:"" help:"The release."`
	Type        string        `required:"" help:"The event type."`
	Kind        string        `enum:"wasm,process" required:"" help:"wasm or process."`
	EntryPoint  string        `name:"entry" required:"" help:"The file that is run."`
	Concurrency int           `name:"lanes" default:"1" help:"Requests that one replica runs at a time."`
	Memory      int64         `default:"64" help:"MiB that a replica may hold."`
	Timeout     time.Duration `name:"time" default:"10s" help:"Most time of one request."`
}

// Run writes the manifest.
func (c *packCmd) Run() error {
	written, err := manifest.Write(c.Folder, manifest.Manifest{
		Name:        c.Name,
		Version:     c.Version,
		Type:        c.Type,
		Kind:        c.Kind,
		EntryPoint:  c.EntryPoint,
		Concurrency: c.Concurrency,
		MemoryLimit: config.ByteSize(c.Memory << 20),
		Timeout:     config.Duration(c.Timeout),
	})
	if err != nil {
		return err
	}
	path := filepath.Join(c.Folder, "manifest.yaml")
	fmt.Printf("%s: %s version %s, digest %.12s\n", path, written.Name, written.Version, written.Digest)
	return nil
}

// wasmCopyCmd is the subcommand that is a wasm replica.
type wasmCopyCmd struct {
	File        string `arg:"" type:"existingfile"`
	Concurrency int    `name:"lanes" default:"1"`
	MemoryBytes int64  `name:"memory" required:""`
	Cache       string `required:""`
}

// Run runs a replica until it is asked to exit.
func (c *wasmCopyCmd) Run(ctx context.Context) error {
	return runner.RunWasm(ctx, runner.WasmOptions{
		File:             c.File,
		Concurrency:      c.Concurrency,
		MemoryBytes:      c.MemoryBytes,
		CompilationCache: c.Cache,
	})
}
