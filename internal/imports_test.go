// Package internal_test checks which packages of the module may import which.
package internal_test

import (
	"os/exec"
	"strings"
	"testing"
)

const module = "lupinpond/"

// allowedImports lists, for each group of packages, the groups that it may import beside itself. A group is a folder below internal/, or
// a folder at the root of the module. The test bed and the programs may import anything and are not listed.
var allowedImports = map[string][]string{
	"scheduler":           {"internal/base"},
	"function":            nil,
	"internal/base":       nil,
	"internal/workerrpc":  {"internal/base", "scheduler"},
	"internal/registry":   {"internal/base", "scheduler", "internal/workerrpc"},
	"internal/gateway":    {"internal/base", "scheduler", "internal/workerrpc", "internal/registry"},
	"internal/artifact":   {"internal/base", "scheduler", "internal/workerrpc", "internal/registry"},
	"internal/worker":     {"internal/base", "scheduler", "internal/workerrpc", "internal/registry", "internal/artifact", "function"},
	"internal/simadapter": {"internal/base", "scheduler"},
}

// exceptions are single imports that no group allows; docs/ARCHITECTURE.md says why each of them exists.
var exceptions = map[string]string{
	"internal/simadapter":             "internal/gateway/core",
	"internal/simadapter/simprotocol": "internal/gateway/settings",
}

// TestImportsStayWithinTheirGroups fails for an import that crosses the groups in a direction that is not listed.
func TestImportsStayWithinTheirGroups(t *testing.T) {
	out, err := exec.CommandContext(t.Context(), "go", "list", "-f", `{{.ImportPath}} {{join .Imports " "}}`, module+"...").Output()
	if err != nil {
		t.Fatalf("go list: %v", err)
	}
	listed := map[string]bool{}
	for line := range strings.Lines(string(out)) {
		paths := strings.Fields(line)
		importer := strings.TrimPrefix(paths[0], module)
		group := groupOf(importer)
		allowed, checked := allowedImports[group]
		if !checked {
			continue
		}
		listed[group] = true
		for _, path := range paths[1:] {
			imported, own := strings.CutPrefix(path, module)
			if own && !mayImport(group, allowed, imported) && exceptions[importer] != imported {
				t.Errorf("%s imports %s: %s may import %v", importer, imported, group, allowed)
			}
		}
	}
	for group := range allowedImports {
		if !listed[group] {
			t.Errorf("no package is in group %s", group)
		}
	}
}

// mayImport reports whether a package of a group may import another package.
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

// groupOf names the group of a package: internal/ and the folder below it, or the folder at the root.
func groupOf(path string) string {
	parts := strings.Split(path, "/")
	if parts[0] == "internal" && len(parts) > 1 {
		return "internal/" + parts[1]
	}
	return parts[0]
}
