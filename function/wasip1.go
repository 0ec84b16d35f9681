//go:build wasip1

package function

import (
	"context"
	"unsafe"
)

// Main has nothing to do in a wasm package: the exports are called.
func Main() {}

// MainConcurrent has nothing to do either: concurrent requests have instances of their own.
func MainConcurrent(int) {}

// MainLanes is the name that MainConcurrent had.
//
// Deprecated: use MainConcurrent.
func MainLanes(int) {}

// What stays in memory after a call, for the host to read: it is package-level because the exports are called one by
// one.
var input, output, reason []byte

// lpInput allocates an input of so many bytes and returns its address.
//
//go:wasmexport lp_input
func lpInput(size uint32) uint32 {
	if uint32(cap(input)) < size || size == 0 {
		input = make([]byte, max(size, 1))
	}
	input = input[:size]
	return uint32(uintptr(unsafe.Pointer(unsafe.SliceData(input))))
}

// lpCall runs the handler on the input. It returns the output's address in the upper half and its length in the
// lower; an address of 0 means failed, and the length is the reason's.
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

// lpReason returns the address of the last failure's reason.
//
//go:wasmexport lp_reason
func lpReason() uint32 {
	if len(reason) == 0 {
		reason = append(reason, ' ')
	}
	return uint32(uintptr(unsafe.Pointer(unsafe.SliceData(reason))))
}
