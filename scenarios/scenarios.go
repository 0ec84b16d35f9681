// Package scenarios holds the built-in fault scenarios, one YAML file each.
package scenarios

import "embed"

// Files are the scenarios' files.
//
//go:embed *.yaml
var Files embed.FS
