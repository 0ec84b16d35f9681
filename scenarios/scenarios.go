// Package scenarios holds the rehearsed days of trouble, one YAML file each.
package scenarios

import "embed"

// Files are the days' files.
//
//go:embed *.yaml
var Files embed.FS
