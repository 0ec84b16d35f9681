// Package overlays writes overlays for the go command, by which tests build a program with a guard taken out.
package overlays

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
)

// Write writes into folder a copy of a source file in which a text that stands there just once is replaced, and the overlay that has
// the go command use the copy. file is an absolute path, source its content.
func Write(folder, file string, source []byte, text, instead string) (overlay string, err error) {
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
