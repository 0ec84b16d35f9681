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

// packCmd is the subcommand that writes the manifest of a package.
type packCmd struct {
	Folder      string        `arg:"" type:"existingdir" help:"Folder with the content of the package."`
	Name        string        `required:"" help:"Name of the function."`
	Version     string        `required:"" help:"Version of the release."`
	Type        string        `required:"" help:"Request type of the function."`
	Kind        string        `enum:"wasm,process" required:"" help:"Kind of package: wasm or process."`
	EntryPoint  string        `name:"entry" required:"" help:"File of the folder that a replica runs."`
	Concurrency int           `name:"lanes" default:"1" help:"Maximum number of requests that a replica runs at a time."`
	Memory      int64         `default:"64" help:"Memory limit of a replica in MiB."`
	Timeout     time.Duration `name:"time" default:"10s" help:"Maximum run time of a request."`
}

// Run writes the manifest and prints its path and the digest of the package.
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

// wasmCopyCmd is the hidden subcommand with which the worker starts a replica of a wasm package.
type wasmCopyCmd struct {
	File        string `arg:"" type:"existingfile"`
	Concurrency int    `name:"lanes" default:"1"`
	MemoryBytes int64  `name:"memory" required:""`
	Cache       string `required:""`
}

// Run runs the replica until the worker tells it to exit.
func (c *wasmCopyCmd) Run(ctx context.Context) error {
	return runner.RunWasm(ctx, runner.WasmOptions{
		File:             c.File,
		Concurrency:      c.Concurrency,
		MemoryBytes:      c.MemoryBytes,
		CompilationCache: c.Cache,
	})
}
