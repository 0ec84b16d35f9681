// Package config decodes the YAML configuration files of the programs. Decoding is strict: an unknown key or a value
// without a unit is an error with file, line and column.
package config

import (
	"bytes"
	"errors"
	"fmt"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
)

// maxFileBytes is the maximum size of a configuration file. An error message of DecodeStrict states it.
const maxFileBytes = 4 << 20

// Error describes an invalid setting in a file and its position.
type Error struct {
	File         string
	Line, Column int
	Reason       string
}

// Error returns the message in the form FILE:LINE:COLUMN: REASON.
func (e *Error) Error() string {
	return fmt.Sprintf("%s:%d:%d: %s", e.File, e.Line, e.Column, e.Reason)
}

// DecodeStrict decodes the YAML document b of the file name into v. Its errors are of type *Error.
func DecodeStrict(name string, b []byte, v any) error {
	if len(b) > maxFileBytes {
		return &Error{File: name, Line: 1, Column: 1, Reason: "longer than 4 MiB"}
	}
	err := yaml.NewDecoder(bytes.NewReader(b), yaml.Strict(), yaml.DisallowUnknownField()).Decode(v)
	if err == nil {
		return nil
	}
	var valueErr *Error
	if errors.As(err, &valueErr) {
		return &Error{File: name, Line: valueErr.Line, Column: valueErr.Column, Reason: valueErr.Reason}
	}
	var yamlErr yaml.Error
	if errors.As(err, &yamlErr) && yamlErr.GetToken() != nil {
		position := yamlErr.GetToken().Position
		return &Error{File: name, Line: position.Line, Column: position.Column, Reason: yamlErr.GetMessage()}
	}
	reason := strings.TrimSpace(err.Error())
	if reason == "EOF" {
		reason = "the file is empty"
	}
	return &Error{File: name, Line: 1, Column: 1, Reason: reason}
}

// ErrorAt returns an *Error at the position of a YAML path such as $.fleet.types[0].name. If the document b has no such
// path, the position is that of its nearest parent.
func ErrorAt(name string, b []byte, path, reason string) error {
	located := &Error{File: name, Line: 1, Column: 1, Reason: strings.TrimPrefix(path, "$.") + ": " + reason}
	file, err := parser.ParseBytes(b, 0)
	if err != nil {
		return located
	}
	for ; len(path) > 1; path = path[:max(1, strings.LastIndexAny(path, ".["))] {
		if node := find(file, path); node != nil {
			located.Line, located.Column = node.GetToken().Position.Line, node.GetToken().Position.Column
			return located
		}
	}
	return located
}

// find returns the node at a YAML path, or nil if there is none. For a mapping it returns the first key, which has the
// position of the mapping.
func find(file *ast.File, path string) ast.Node {
	yamlPath, err := yaml.PathString(path)
	if err != nil {
		return nil
	}
	node, err := yamlPath.FilterFile(file)
	if err != nil || node == nil || node.GetToken() == nil {
		return nil
	}
	if mapping, ok := node.(*ast.MappingNode); ok && len(mapping.Values) > 0 {
		return mapping.Values[0].Key
	}
	return node
}
