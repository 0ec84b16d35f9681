// Package function is the library for functions written in Go. A function is a program that sets a handler, which runs
// its requests:
//
//	func init() { function.Handle(func(ctx context.Context, input []byte) ([]byte, error) { ... }) }
//	func main() { function.Main() }
//
// The same program can be built as either kind of package. Built for the host it is a process package: each replica is
// a process that takes its requests from the worker's runtime interface over HTTP. Built with GOOS=wasip1 GOARCH=wasm
// -buildmode=c-shared it is a wasm package: the worker calls the functions that the module exports.
//
// What a function writes to standard error is its log. docs/runtime.md describes the runtime interface for functions in
// other languages.
package function

import "context"

// Handler runs one request and returns its output. An error means that the request failed, and its text is reported as
// the reason; the request may still have had an effect.
//
// In a process package the context is cancelled when the time of the request is over or the replica is told to exit. In
// a wasm package it is never cancelled, and the next request overwrites input: a handler must not keep it.
type Handler func(ctx context.Context, input []byte) ([]byte, error)

// handler is the function's handler. Handle sets it once, before main.
var handler Handler

// Handle sets the handler that runs the function's requests. Call it from an init function: main does not run in a wasm
// package.
func Handle(h Handler) { handler = h }
