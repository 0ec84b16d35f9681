// Package function is what packages written in Go are built with. One program serves both kinds: built for the host it
// is a process that speaks the runtime interface; built with GOOS=wasip1 GOARCH=wasm -buildmode=c-shared it is a wasm
// package.
//
//	func init() { function.Handle(func(ctx context.Context, input []byte) ([]byte, error) { ... }) }
//	func main() { function.Main() }
//
// What a function writes to standard error is its log. docs/runtime.md has the interface for other languages.
package function

import "context"

// Handler runs one request. An error says that it failed; it may have had an effect.
type Handler func(ctx context.Context, input []byte) ([]byte, error)

// handler is set once before main, by Handle.
var handler Handler

// Handle sets the handler; call it from an init function.
func Handle(h Handler) { handler = h }
