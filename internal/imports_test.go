// Package internal_test checks the imports between the packages of the module, and the references of the documentation
// to the source.
package internal_test

import (
	"os/exec"
	"strings"
	"testing"
)

const module = "lupinpond/"

// allowedImports lists, for each group of packages, the other groups that it may import. A group is a folder below
// internal/ or at the root of the module, with all packages in it. The test bed and the programs may import any package
// and are not listed.
var allowedImports = map[string][]string{
	"scheduler":          {"internal/base"},
	"function":           nil,
	"internal/base":      nil,
	"internal/workerrpc": {"internal/base", "scheduler"},
	"internal/registry":  {"internal/base", "scheduler", "internal/workerrpc"},
	"internal/gateway":   {"internal/base", "scheduler", "internal/workerrpc", "internal/registry"},
	"internal/artifact":  {"internal/base", "scheduler", "internal/workerrpc", "internal/registry"},
	"internal/worker": {"internal/base", "scheduler", "internal/workerrpc", "internal/registry", "internal/artifact",
		"function"},
	"internal/simadapter": {"internal/base", "scheduler"},
}

// exceptions are single imports that allowedImports doesn't allow, by importing package. docs/ARCHITECTURE.md gives the
// reason for each.
var exceptions = map[string]string{
	"internal/simadapter":             "internal/gateway/core",
	"internal/simadapter/simprotocol": "internal/gateway/settings",
}

// TestImportsStayWithinTheirGroups fails if a package imports a package of another group, and neither allowedImports
// nor exceptions allows it.
func TestImportsStayWithinTheirGroups(t *testing.T) {
	out, err := exec.CommandContext(t.Context(), "go", "list", "-f", `{{.ImportPath}} {{join .Imports " "}}`,
		module+"...").Output()
	if err != nil {
		t.Fatalf("go list: %v", err)
	}
	groupsSeen := map[string]bool{}
	for line := range strings.Lines(string(out)) {
		paths := strings.Fields(line)
		importer := strings.TrimPrefix(paths[0], module)
		group := groupOf(importer)
		allowed, checked := allowedImports[group]
		if !checked {
			continue
		}
		groupsSeen[group] = true
		for _, path := range paths[1:] {
			imported, inModule := strings.CutPrefix(path, module)
			if inModule && !mayImport(group, allowed, imported) && exceptions[importer] != imported {
				t.Errorf("%s imports %s: %s may import %v", importer, imported, group, allowed)
			}
		}
	}
	for group := range allowedImports {
		if !groupsSeen[group] {
			t.Errorf("group %s has no packages", group)
		}
	}
}

// mayImport reports whether a package of a group may import another package, which is the case if that package is in
// the same group or in one of the allowed groups.
func mayImport(group string, allowed []string, imported string) bool {
	other := groupOf(imported)
	if other == group {
		return true
	}
	for _, name := range allowed {
		if name == other {
			return true
		}
	}
	return false
}

// groupOf returns the group of a package: internal/ and the folder below it, or the folder at the root.
func groupOf(path string) string {
	parts := strings.Split(path, "/")
	if parts[0] == "internal" && len(parts) > 1 {
		return "internal/" + parts[1]
	}
	return parts[0]
}
