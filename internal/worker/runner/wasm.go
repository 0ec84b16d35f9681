package runner

import (
	"context"
	"errors"
	"fmt"
	"os"
	"sync"
	"time"

	"github.com/tetratelabs/wazero"
	"github.com/tetratelabs/wazero/api"
	"github.com/tetratelabs/wazero/imports/wasi_snapshot_preview1"

	"lupinpond/function"
)

// Functions that the module of a wasm package exports. lp_input allocates memory for an input of the given length and
// returns its address. lp_call runs the function on this input and returns the address of the output in the upper 32
// bits and its length in the lower 32 bits. An address of 0 means that the function failed: the length is then that of
// the reason, whose address lp_reason returns.
const (
	exportInput  = "lp_input"
	exportCall   = "lp_call"
	exportReason = "lp_reason"
)

const (
	// wasmPageBits is the base-2 logarithm of the size of a wasm memory page in bytes.
	wasmPageBits = 16
	// maxWasmPages is the maximum number of pages that a 32-bit module can address.
	maxWasmPages = 1 << 16
)

// WasmOptions configure a wasm replica.
type WasmOptions struct {
	File             string // path of the module
	Concurrency      int    // maximum number of concurrent calls, each in its own instance of the module
	MemoryBytes      int64  // maximum memory of each instance
	CompilationCache string // folder for compiled code
}

// RunWasm runs a wasm replica in this process. It compiles the module, creates an instance for each concurrent call,
// and polls the runtime interface for requests until ctx is done. The module can read clocks, sleep, and write to
// standard output and error, both of which go to the process's standard error; it has no other access to the host.
func RunWasm(ctx context.Context, options WasmOptions) (err error) {
	code, err := os.ReadFile(options.File)
	if err != nil {
		return fmt.Errorf("wasm: %w", err)
	}
	cache, err := wazero.NewCompilationCacheWithDir(options.CompilationCache)
	if err != nil {
		return fmt.Errorf("wasm: cache: %w", err)
	}
	defer func() { err = errors.Join(err, cache.Close(context.Background())) }()
	config := wazero.NewRuntimeConfig().
		WithCompilationCache(cache).
		WithMemoryLimitPages(uint32(min(options.MemoryBytes>>wasmPageBits, maxWasmPages))).
		WithCloseOnContextDone(true)
	engine := wazero.NewRuntimeWithConfig(ctx, config)
	defer func() { err = errors.Join(err, engine.Close(context.Background())) }()
	if _, err := wasi_snapshot_preview1.Instantiate(ctx, engine); err != nil {
		return fmt.Errorf("wasm: %w", err)
	}
	module, compileTime, err := compile(ctx, engine, code)
	if err != nil {
		return err
	}
	pool, err := newInstancePool(ctx, engine, module, options.Concurrency)
	if err != nil {
		return err
	}
	return function.ServeCompiled(ctx, options.Concurrency, compileTime, pool.call)
}

// compile compiles a module, checks its exports and returns the compile time.
func compile(ctx context.Context, engine wazero.Runtime, code []byte) (wazero.CompiledModule, time.Duration, error) {
	start := time.Now()
	module, err := engine.CompileModule(ctx, code)
	if err != nil {
		return nil, 0, fmt.Errorf("wasm: %w", err)
	}
	compileTime := time.Since(start)
	for _, name := range []string{exportInput, exportCall, exportReason} {
		if module.ExportedFunctions()[name] == nil {
			return nil, 0, fmt.Errorf("wasm: the module does not export %s", name)
		}
	}
	return module, compileTime, nil
}

// instancePool is a pool of instances of a module, each of which runs one call at a time.
type instancePool struct {
	engine wazero.Runtime
	module wazero.CompiledModule
	free   chan *instance // instances that are not running a call
}

// newInstancePool returns a pool of size instances of a module.
func newInstancePool(
	ctx context.Context, engine wazero.Runtime, module wazero.CompiledModule, size int,
) (*instancePool, error) {
	pool := &instancePool{engine, module, make(chan *instance, size)}
	for range size {
		created, err := pool.instantiate(ctx)
		if err != nil {
			return nil, err
		}
		pool.free <- created
	}
	return pool, nil
}

// call runs a call on a free instance. It waits until one is free.
func (p *instancePool) call(ctx context.Context, input []byte) ([]byte, error) {
	inst := <-p.free
	output, err := inst.call(ctx, input)
	if err != nil && inst.module.IsClosed() { // the module trapped or exited: replace the instance
		replacement, replacementErr := p.instantiate(context.WithoutCancel(ctx))
		if replacementErr != nil {
			return nil, replacementErr // the pool shrinks by one; a call that finds no instance expires and stops the replica
		}
		inst = replacement
	}
	p.free <- inst
	return output, err
}

// instance is an instance of a module, with its own memory.
type instance struct {
	module api.Module
	mu     sync.Mutex
}

// instantiate creates an instance of the pool's module.
func (p *instancePool) instantiate(ctx context.Context) (*instance, error) {
	config := wazero.NewModuleConfig().
		WithName("").
		WithStartFunctions("_initialize").
		WithStdout(os.Stderr).
		WithStderr(os.Stderr).
		WithSysWalltime().
		WithSysNanotime().
		WithSysNanosleep()
	module, err := p.engine.InstantiateModule(ctx, p.module, config)
	if err != nil {
		return nil, fmt.Errorf("wasm: start: %w", err)
	}
	return &instance{module: module}, nil
}

// call runs the module's function on an input and returns a copy of its output.
func (in *instance) call(ctx context.Context, input []byte) ([]byte, error) {
	in.mu.Lock()
	defer in.mu.Unlock()
	inputAddress, err := in.module.ExportedFunction(exportInput).Call(ctx, uint64(len(input)))
	if err != nil {
		return nil, err
	}
	if len(input) > 0 && !in.module.Memory().Write(uint32(inputAddress[0]), input) {
		return nil, errors.New("wasm: the input's place is outside the module's memory")
	}
	result, err := in.module.ExportedFunction(exportCall).Call(ctx)
	if err != nil {
		return nil, err
	}
	address, length := uint32(result[0]>>32), uint32(result[0])
	failed := address == 0
	if failed {
		reasonAddress, err := in.module.ExportedFunction(exportReason).Call(ctx)
		if err != nil {
			return nil, err
		}
		address = uint32(reasonAddress[0])
	}
	output, inside := in.module.Memory().Read(address, length)
	if !inside {
		return nil, errors.New("wasm: the output's place is outside the module's memory")
	}
	if failed {
		return nil, errors.New(string(output))
	}
	return append([]byte(nil), output...), nil
}
