package localfleet

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"

	"lupinpond/internal/artifact/manifest"
)

// Build builds a program of this module, such as lupinpond/examples/payroll, with the Go toolchain on the PATH and
// writes it to entryPoint. The kind, process or wasm, determines the target. Build is meant for tests.
func Build(entryPoint, program, kind string) error {
	args, env := []string{"build", "-o", entryPoint}, append(os.Environ(), "CGO_ENABLED=0")
	if kind == manifest.Wasm {
		args, env = append(args, "-buildmode=c-shared"), append(env, "GOOS=wasip1", "GOARCH=wasm")
	}
	if err := os.MkdirAll(filepath.Dir(entryPoint), 0o755); err != nil {
		return err
	}
	cmd := exec.Command("go", append(args, program)...)
	cmd.Env = env
	if out, err := cmd.CombinedOutput(); err != nil {
		return fmt.Errorf("build %s: %w: %s", program, err, out)
	}
	return nil
}
