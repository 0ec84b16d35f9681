// Command preview is an example package: a small model that scores a pay preview with fixed weights. It can be built as
// a process or as a wasm package, see docs/operate/worker.md.
package main

import (
	"context"

	"lupinpond/examples/preview/score"
	"lupinpond/function"
)

func init() {
	function.Handle(func(_ context.Context, input []byte) ([]byte, error) { return score.Score(input) })
}

func main() { function.MainConcurrent(2) }
