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

// Exports of a wasm package: lp_input allocates an input of so many bytes and says where; lp_call runs it and says
// where its output is, the address in the upper half, the length in the lower; an address of 0 means failed, and the
// length is that of the reason, which stands where lp_reason says.
const (
	exportInput  = "lp_input"
	exportCall   = "lp_call"
	exportReason = "lp_reason"
)

const (
	// wasmPageBits is the size of a page of wasm memory, as a shift.
	wasmPageBits = 16
	// maxWasmPages is the most that a 32-bit module can address.
	maxWasmPages = 1 << 16
)

// WasmOptions say what a wasm replica runs.
type WasmOptions struct {
	File             string // the module
	Concurrency      int    // calls at a time, each in an instance of its own
	MemoryBytes      int64  // that one instance may have
	CompilationCache string // folder for compiled code
}

// RunWasm is a wasm replica: it compiles the module, keeps an instance for each concurrent call and serves the
// runtime interface until it is asked to exit. The module has a clock, and its output is the log; it has nothing else
// of the host.
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

// compile compiles a module and checks its exports.
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

// instancePool has the instances that run no call.
type instancePool struct {
	engine wazero.Runtime
	module wazero.CompiledModule
	free   chan *instance
}

// newInstancePool makes so many instances of a module.
func newInstancePool(
	ctx context.Context, engine wazero.Runtime, module wazero.CompiledModule, size int,
) (*instancePool, error) {
	pool := &instancePool{engine, module, make(chan *instance, size)}
	for range size {
		made, err := pool.instantiate(ctx)
		if err != nil {
			return nil, err
		}
		pool.free <- made
	}
	return pool, nil
}

// call runs an input on a free instance.
func (p *instancePool) call(ctx context.Context, input []byte) ([]byte, error) {
	used := <-p.free
	output, err := used.call(ctx, input)
	if err != nil && used.module.IsClosed() { // a trap, or its exit: a new instance takes its place
		fresh, freshErr := p.instantiate(context.WithoutCancel(ctx))
		if freshErr != nil {
			return nil, freshErr // the place is lost; the replica is stopped when its next call finds none
		}
		used = fresh
	}
	p.free <- used
	return output, err
}

// instance is a module with a memory of its own.
type instance struct {
	module api.Module
	mu     sync.Mutex
}

// instantiate makes an instance.
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

// call runs an input.
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
