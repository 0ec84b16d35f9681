package resp_test

import (
	"errors"
	"io"
	"slices"
	"strings"
	"testing"
	"testing/iotest"

	"lupinpond/internal/gateway/resp"
)

// ReadCommands must pass on complete commands even if their bytes arrive one at a time. It must end with an error after
// a malformed command, and with the handler's error.
func TestReadCommands(t *testing.T) {
	frames := resp.AppendArray(resp.AppendArray(nil, "FN", "1", "-", "a\r\nb"), "KILL", "1")
	var got [][]string
	size := 0
	slow := iotest.OneByteReader(strings.NewReader(string(frames)))
	err := resp.ReadCommands(slow, 16, func(elements []string, consumed int) error {
		got, size = append(got, elements), size+consumed
		return nil
	})
	if !errors.Is(err, io.EOF) || len(got) != 2 || !slices.Equal(got[0], []string{"FN", "1", "-", "a\r\nb"}) ||
		!slices.Equal(got[1], []string{"KILL", "1"}) || size != len(frames) {
		t.Errorf("%q, %d of %d bytes, %v", got, size, len(frames), err)
	}
	for _, bad := range []string{"hello\r\n", string(resp.AppendArray(nil, strings.Repeat("x", 17)))} {
		err := resp.ReadCommands(strings.NewReader(bad), 16, func([]string, int) error { return nil })
		if !errors.Is(err, resp.ErrMalformed) {
			t.Errorf("%q: %v", bad, err)
		}
	}
	handlerErr := errors.New("enough")
	err = resp.ReadCommands(strings.NewReader(string(frames)), 16, func([]string, int) error { return handlerErr })
	if !errors.Is(err, handlerErr) {
		t.Error(err)
	}
}
