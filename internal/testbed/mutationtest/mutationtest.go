// Package mutationtest writes overlays for the go command, by which tests build a program with a guard taken out. An
// overlay that does not apply any more is an error, which has to fail the test.
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

// ErrNotUnique says that the text to be replaced does not stand in the source just once: the guard that a test means
// to take out is another one by now, or none.
var ErrNotUnique = errors.New("text to be replaced does not stand there just once")

// WriteOverlay writes into folder a copy of a source file in which a text that stands there just once is replaced, and
// the overlay that has the go command use the copy. file is an absolute path, source its content.
func WriteOverlay(folder, file string, source []byte, text, instead string) (overlay string, err error) {
	if count := strings.Count(string(source), text); count != 1 {
		return "", fmt.Errorf("overlay %s: %w: %d times %q", file, ErrNotUnique, count, text)
	}
	mutated := filepath.Join(folder, filepath.Base(file))
	mutant := strings.Replace(string(source), text, instead, 1)
	if err := os.WriteFile(mutated, []byte(mutant), 0o600); err != nil {
		return "", err
	}
	replacements, err := json.Marshal(map[string]map[string]string{"Replace": {file: mutated}})
	if err != nil {
		return "", err
	}
	overlay = filepath.Join(folder, "overlay.json")
	return overlay, os.WriteFile(overlay, replacements, 0o600)
}

// BuildTests compiles the tests of the package in the present folder, with a text of a source file replaced, into a
// program in folder.
func BuildTests(ctx context.Context, folder, file, text, instead string) (program string, err error) {
	if file, err = filepath.Abs(file); err != nil {
		return "", err
	}
	source, err := os.ReadFile(file)
	if err != nil {
		return "", err
	}
	overlay, err := WriteOverlay(folder, file, source, text, instead)
	if err != nil {
		return "", err
	}
	program = filepath.Join(folder, "mutant.test")
	printed, err := exec.CommandContext(ctx, "go", "test", "-vet=off", "-overlay", overlay, "-c", "-o", program, ".").
		CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("build tests with %s mutated: %w\n%s", file, err, printed)
	}
	return program, nil
}

// RunProgram runs tests of a program of BuildTests in the present folder, and returns what was printed. passed: no test
// failed. Arguments may follow those of the test.
func RunProgram(ctx context.Context, program, run string, more ...string) (out string, passed bool, err error) {
	args := append([]string{"-test.count=1", "-test.run=" + run}, more...)
	printed, err := exec.CommandContext(ctx, program, args...).CombinedOutput()
	var failed *exec.ExitError
	if errors.As(err, &failed) {
		return string(printed), false, nil
	}
	return string(printed), err == nil, err
}

// RunTests is BuildTests and RunProgram in one.
func RunTests(
	ctx context.Context, folder, file, text, instead, run string, more ...string,
) (out string, passed bool, err error) {
	program, err := BuildTests(ctx, folder, file, text, instead)
	if err != nil {
		return "", false, err
	}
	return RunProgram(ctx, program, run, more...)
}
