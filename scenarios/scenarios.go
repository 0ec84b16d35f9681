// Package scenarios embeds the built-in fault scenarios, one YAML file each.
package scenarios

import "embed"

// Files holds the YAML files of the scenarios.
//
//go:embed *.yaml
var Files embed.FS
