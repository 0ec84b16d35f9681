//go:build wasip1

package function

import (
	"context"
	"unsafe"
)

// Main does nothing in a wasm package: the worker calls the exported functions of the module.
func Main() {}

// MainConcurrent does nothing in a wasm package: the worker runs concurrent requests in separate instances of the
// module.
func MainConcurrent(int) {}

// MainLanes is the former name of MainConcurrent.
//
// Deprecated: use MainConcurrent.
func MainLanes(int) {}

// Buffers that the worker writes or reads between calls of the exported functions. They are package-level variables, so
// that the garbage collector keeps them from one call to the next.
var input, output, reason []byte

// lpInput returns the address of a buffer of size bytes, into which the worker writes the input of the next request.
//
//go:wasmexport lp_input
func lpInput(size uint32) uint32 {
	if uint32(cap(input)) < size || size == 0 {
		input = make([]byte, max(size, 1))
	}
	input = input[:size]
	return uint32(uintptr(unsafe.Pointer(unsafe.SliceData(input))))
}

// lpCall runs the handler on the input. It returns the address of the output in the upper 32 bits and its length in the
// lower 32 bits. An address of 0 means that the request failed; the length is then that of the reason.
//
//go:wasmexport lp_call
func lpCall() uint64 {
	out, err := handler(context.Background(), input)
	if err != nil {
		reason = []byte(err.Error())
		return uint64(len(reason))
	}
	if len(out) == 0 {
		out = make([]byte, 0, 1)
	}
	output = out
	return uint64(uintptr(unsafe.Pointer(unsafe.SliceData(output))))<<32 | uint64(len(output))
}

// lpReason returns the address of the reason for the latest failure.
//
//go:wasmexport lp_reason
func lpReason() uint32 {
	if len(reason) == 0 {
		reason = append(reason, ' ')
	}
	return uint32(uintptr(unsafe.Pointer(unsafe.SliceData(reason))))
}
