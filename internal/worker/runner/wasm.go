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

// Exports of a wasm package: lp_input makes room for an input of so many bytes and says where; lp_call runs it and says
// where its output is, the place in the upper half, the length in the lower; a place of 0 means failed, and the length
// is that of the reason, which stands where lp_reason says.
const (
	exportInput  = "lp_input"
	exportCall   = "lp_call"
	exportReason = "lp_reason"
)

// RunWasm is the life of a wasm copy: it compiles the module, keeps an instance for each lane and serves the runtime
// interface until it is asked to end. The module has a clock, and its output is the log; it has nothing else of the host.
func RunWasm(ctx context.Context, file string, lanes int, memory int64, cache string) (err error) {
	code, err := os.ReadFile(file)
	if err != nil {
		return fmt.Errorf("wasm: %w", err)
	}
	compiled, err := wazero.NewCompilationCacheWithDir(cache)
	if err != nil {
		return fmt.Errorf("wasm: cache: %w", err)
	}
	defer func() { err = errors.Join(err, compiled.Close(context.Background())) }()
	rt := wazero.NewRuntimeWithConfig(ctx, wazero.NewRuntimeConfig().WithCompilationCache(compiled).
		WithMemoryLimitPages(uint32(min(memory>>16, 65536))).WithCloseOnContextDone(true))
	defer func() { err = errors.Join(err, rt.Close(context.Background())) }()
	if _, err := wasi_snapshot_preview1.Instantiate(ctx, rt); err != nil {
		return fmt.Errorf("wasm: %w", err)
	}
	began := time.Now()
	module, err := rt.CompileModule(ctx, code)
	if err != nil {
		return fmt.Errorf("wasm: %w", err)
	}
	took := time.Since(began)
	for _, name := range []string{exportInput, exportCall, exportReason} {
		if module.ExportedFunctions()[name] == nil {
			return fmt.Errorf("wasm: the module does not export %s", name)
		}
	}
	free := make(chan *instance, lanes)
	for range lanes {
		in, err := instantiate(ctx, rt, module)
		if err != nil {
			return err
		}
		free <- in
	}
	return function.ServeCompiled(ctx, lanes, took, func(ctx context.Context, input []byte) ([]byte, error) {
		in := <-free
		out, err := in.call(ctx, input)
		if err != nil && in.module.IsClosed() { // a trap or its end: the lane begins anew
			fresh, ferr := instantiate(context.WithoutCancel(ctx), rt, module)
			if ferr != nil {
				return nil, ferr // the lane is lost; the copy ends when its next event finds none
			}
			in = fresh
		}
		free <- in
		return out, err
	})
}

type instance struct {
	module api.Module
	mu     sync.Mutex
}

func instantiate(ctx context.Context, rt wazero.Runtime, m wazero.CompiledModule) (*instance, error) {
	module, err := rt.InstantiateModule(ctx, m, wazero.NewModuleConfig().WithName("").WithStartFunctions("_initialize").
		WithStdout(os.Stderr).WithStderr(os.Stderr).WithSysWalltime().WithSysNanotime().WithSysNanosleep())
	if err != nil {
		return nil, fmt.Errorf("wasm: start: %w", err)
	}
	return &instance{module: module}, nil
}

func (in *instance) call(ctx context.Context, input []byte) ([]byte, error) {
	in.mu.Lock()
	defer in.mu.Unlock()
	at, err := in.module.ExportedFunction(exportInput).Call(ctx, uint64(len(input)))
	if err != nil {
		return nil, err
	}
	if len(input) > 0 && !in.module.Memory().Write(uint32(at[0]), input) {
		return nil, errors.New("wasm: the input's place is outside the module's memory")
	}
	got, err := in.module.ExportedFunction(exportCall).Call(ctx)
	if err != nil {
		return nil, err
	}
	place, length := uint32(got[0]>>32), uint32(got[0])
	failed := place == 0
	if failed {
		at, err := in.module.ExportedFunction(exportReason).Call(ctx)
		if err != nil {
			return nil, err
		}
		place = uint32(at[0])
	}
	out, is := in.module.Memory().Read(place, length)
	if !is {
		return nil, errors.New("wasm: the output's place is outside the module's memory")
	}
	out = append([]byte(nil), out...)
	if failed {
		return nil, errors.New(string(out))
	}
	return out, nil
}
