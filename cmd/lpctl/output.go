package main

import (
	"encoding/json"
	"fmt"
	"os"

	"github.com/jedib0t/go-pretty/v6/table"

	"lupinpond/internal/gateway/fleetconfig"
)

// loadConfig reads a file of settings, or the defaults where none is named.
func loadConfig(path string) (fleetconfig.File, error) {
	if path == "" {
		return fleetconfig.Default()
	}
	return fleetconfig.Read(path)
}

// newTable is a table on standard output; Render prints it.
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
