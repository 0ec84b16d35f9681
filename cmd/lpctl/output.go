package main

import (
	"encoding/json"
	"fmt"
	"os"

	"github.com/jedib0t/go-pretty/v6/table"

	"lupinpond/internal/gateway/fleetconfig"
)

// loadConfig reads a settings file. With an empty path it returns the built-in defaults.
func loadConfig(path string) (fleetconfig.File, error) {
	if path == "" {
		return fleetconfig.Default()
	}
	return fleetconfig.Read(path)
}

// newTable returns a table with a header. Its Render method prints it to standard output.
func newTable(header ...any) table.Writer {
	t := table.NewWriter()
	t.SetOutputMirror(os.Stdout)
	t.SetStyle(table.StyleLight)
	t.AppendHeader(header)
	return t
}

// printJSON prints a value as one line of JSON.
func printJSON(value any) error { return json.NewEncoder(os.Stdout).Encode(value) }

func mib(bytes int64) string { return fmt.Sprintf("%.2f MiB", float64(bytes)/(1<<20)) }
