// Package config decodes the YAML files that the programs start with. Decoding is strict: an unknown key or a value without its
// unit is one error with file, line and column.
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

// Error is a mistake in a file, with its place.
type Error struct {
	File         string
	Line, Column int
	Reason       string
}

// Error says file, line, column and reason.
func (e *Error) Error() string {
	return fmt.Sprintf("%s:%d:%d: %s", e.File, e.Line, e.Column, e.Reason)
}

// DecodeStrict decodes one YAML document into v; a mistake becomes an *Error.
func DecodeStrict(name string, b []byte, v any) error {
	if len(b) > 4<<20 {
		return &Error{File: name, Line: 1, Column: 1, Reason: "longer than 4 MiB"}
	}
	err := yaml.NewDecoder(bytes.NewReader(b), yaml.Strict(), yaml.DisallowUnknownField()).Decode(v)
	if err == nil {
		return nil
	}
	var mine *Error
	if errors.As(err, &mine) {
		return &Error{File: name, Line: mine.Line, Column: mine.Column, Reason: mine.Reason}
	}
	var y yaml.Error
	if errors.As(err, &y) && y.GetToken() != nil {
		p := y.GetToken().Position
		return &Error{File: name, Line: p.Line, Column: p.Column, Reason: y.GetMessage()}
	}
	reason := strings.TrimSpace(err.Error())
	if reason == "EOF" {
		reason = "the file is empty"
	}
	return &Error{File: name, Line: 1, Column: 1, Reason: reason}
}

// ErrorAt makes an Error for the place of a YAML path such as $.fleet.types[0].name, or of what is nearest above it.
func ErrorAt(name string, b []byte, path, reason string) error {
	e := &Error{File: name, Line: 1, Column: 1, Reason: strings.TrimPrefix(path, "$.") + ": " + reason}
	file, err := parser.ParseBytes(b, 0)
	for err == nil && len(path) > 1 {
		if p, perr := yaml.PathString(path); perr == nil {
			if node, nerr := p.FilterFile(file); nerr == nil && node != nil && node.GetToken() != nil {
				if m, is := node.(*ast.MappingNode); is && len(m.Values) > 0 {
					node = m.Values[0].Key
				}
				e.Line, e.Column = node.GetToken().Position.Line, node.GetToken().Position.Column
				return e
			}
		}
		path = path[:max(1, strings.LastIndexAny(path, ".["))]
	}
	return e
}
