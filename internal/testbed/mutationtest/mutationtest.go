// Package mutationtest lets a test build a program with one text of its source replaced, for example with a guard
// removed, to check that other tests detect the mutation. The replacement is applied by an overlay of the go command.
// If the text is no longer in the source, an error is returned, and the test must fail.
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

// ErrNotUnique reports that the text to be replaced does not occur exactly once in the source. The code that the test
// means to mutate has been changed, removed or duplicated, so the test must be updated.
var ErrNotUnique = errors.New("text to be replaced does not occur exactly once")

// WriteOverlay writes two files into folder: a copy of a source file in which text, which must occur exactly once, is
// replaced, and an overlay that makes the go command use the copy. file is the absolute path of the source file, source
// its content. WriteOverlay returns the path of the overlay.
func WriteOverlay(folder, file string, source []byte, text, replacement string) (overlay string, err error) {
	if count := strings.Count(string(source), text); count != 1 {
		return "", fmt.Errorf("overlay %s: %w: found %d times: %q", file, ErrNotUnique, count, text)
	}
	mutantFile := filepath.Join(folder, filepath.Base(file))
	mutantSource := strings.Replace(string(source), text, replacement, 1)
	if err := os.WriteFile(mutantFile, []byte(mutantSource), 0o600); err != nil {
		return "", err
	}
	overlayContent, err := json.Marshal(map[string]map[string]string{"Replace": {file: mutantFile}})
	if err != nil {
		return "", err
	}
	overlay = filepath.Join(folder, "overlay.json")
	return overlay, os.WriteFile(overlay, overlayContent, 0o600)
}

// BuildTests compiles the tests of the package in the working directory, with one text of a source file replaced, and
// returns the path of the test program, which is in folder.
func BuildTests(ctx context.Context, folder, file, text, replacement string) (program string, err error) {
	if file, err = filepath.Abs(file); err != nil {
		return "", err
	}
	source, err := os.ReadFile(file)
	if err != nil {
		return "", err
	}
	overlay, err := WriteOverlay(folder, file, source, text, replacement)
	if err != nil {
		return "", err
	}
	program = filepath.Join(folder, "mutant.test")
	output, err := exec.CommandContext(ctx, "go", "test", "-vet=off", "-overlay", overlay, "-c", "-o", program, ".").
		CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("build tests with %s mutated: %w\n%s", file, err, output)
	}
	return program, nil
}

// RunProgram runs the tests that match pattern in a program built by BuildTests, in the working directory. It returns
// their output and whether all of them passed. extraArgs are further arguments of the program.
func RunProgram(
	ctx context.Context, program, pattern string, extraArgs ...string,
) (out string, passed bool, err error) {
	args := append([]string{"-test.count=1", "-test.run=" + pattern}, extraArgs...)
	output, err := exec.CommandContext(ctx, program, args...).CombinedOutput()
	var failed *exec.ExitError
	if errors.As(err, &failed) {
		return string(output), false, nil
	}
	return string(output), err == nil, err
}

// RunTests calls BuildTests and RunProgram.
func RunTests(
	ctx context.Context, folder, file, text, replacement, pattern string, extraArgs ...string,
) (out string, passed bool, err error) {
	program, err := BuildTests(ctx, folder, file, text, replacement)
	if err != nil {
		return "", false, err
	}
	return RunProgram(ctx, program, pattern, extraArgs...)
}
