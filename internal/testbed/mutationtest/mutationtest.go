// Package mutationtest writes overlays for the go command, by which tests build a program with a guard taken out.
package mutationtest

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
)

// WriteOverlay writes into folder a copy of a source file in which a text that stands there just once is replaced, and the overlay that has
// the go command use the copy. file is an absolute path, source its content.
func WriteOverlay(folder, file string, source []byte, text, instead string) (overlay string, err error) {
	if n := strings.Count(string(source), text); n != 1 {
		return "", fmt.Errorf("%s holds the text to be replaced %d times, not once", file, n)
	}
	mutated := filepath.Join(folder, filepath.Base(file))
	if err := os.WriteFile(mutated, []byte(strings.Replace(string(source), text, instead, 1)), 0o600); err != nil {
		return "", err
	}
	replaced, err := json.Marshal(map[string]map[string]string{"Replace": {file: mutated}})
	if err != nil {
		return "", err
	}
	overlay = filepath.Join(folder, "overlay.json")
	return overlay, os.WriteFile(overlay, replaced, 0o600)
}

// RunTests runs tests of the package in the present folder with a text of a source file replaced, and gives what it printed. passed: no
// test failed. Arguments may follow those of go test.
func RunTests(ctx context.Context, folder, file, text, instead, run string, more ...string) (out string, passed bool, err error) {
	if file, err = filepath.Abs(file); err != nil {
		return "", false, err
	}
	source, err := os.ReadFile(file)
	if err != nil {
		return "", false, err
	}
	overlay, err := WriteOverlay(folder, file, source, text, instead)
	if err != nil {
		return "", false, err
	}
	words := append([]string{"test", "-vet=off", "-count=1", "-overlay", overlay, "-run", run, "."}, more...)
	b, err := exec.CommandContext(ctx, "go", words...).CombinedOutput()
	var failed *exec.ExitError
	if errors.As(err, &failed) {
		return string(b), false, nil
	}
	return string(b), err == nil, err
}
