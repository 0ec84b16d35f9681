package mutationtest

import (
	"encoding/json"
	"errors"
	"os"
	"path/filepath"
	"testing"
)

// If a mutation whose text is no longer in the source were ignored, mutation tests would run the unchanged program.
// WriteOverlay must replace a text that occurs exactly once and return ErrNotUnique otherwise.
func TestWriteOverlay(t *testing.T) {
	const source = "a guard, a gate"
	for _, test := range []struct {
		name, text, want string
		err              error
	}{
		{"once", "guard", "a hole, a gate", nil},
		{"twice", "a g", "", ErrNotUnique},
		{"not found", "fence", "", ErrNotUnique},
	} {
		folder := t.TempDir()
		overlay, err := WriteOverlay(folder, "/src/file.go", []byte(source), test.text, "hole")
		if !errors.Is(err, test.err) {
			t.Errorf("%s: error %v, want %v", test.name, err, test.err)
		}
		if err != nil {
			continue
		}
		text, err := os.ReadFile(overlay)
		if err != nil {
			t.Fatal(err)
		}
		var content map[string]map[string]string
		if err := json.Unmarshal(text, &content); err != nil {
			t.Fatal(err)
		}
		mutated := content["Replace"]["/src/file.go"]
		if mutant, err := os.ReadFile(mutated); err != nil || string(mutant) != test.want || filepath.Dir(mutated) != folder {
			t.Errorf("%s: got source %q in %s, error %v, want %q", test.name, mutant, mutated, err, test.want)
		}
	}
}
