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

// Commands are complete, however their bytes arrive, and reading ends with a malformed one or with the handler's error.
func TestReadCommands(t *testing.T) {
	frames := resp.AppendArray(resp.AppendArray(nil, "FN", "1", "-", "a\r\nb"), "KILL", "1")
	var got [][]string
	size := 0
	slow := iotest.OneByteReader(strings.NewReader(string(frames)))
	err := resp.ReadCommands(slow, 16, func(elements []string, taken int) error {
		got, size = append(got, elements), size+taken
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
	enough := errors.New("enough")
	err = resp.ReadCommands(strings.NewReader(string(frames)), 16, func([]string, int) error { return enough })
	if !errors.Is(err, enough) {
		t.Error(err)
	}
}
