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

// Commands come whole, however their bytes come, and reading ends with what can't be read or with the reader's own error.
func TestReadCommands(t *testing.T) {
	frames := resp.AppendArray(resp.AppendArray(nil, "FN", "1", "-", "a\r\nb"), "KILL", "1")
	var got [][]string
	size := 0
	err := resp.ReadCommands(iotest.OneByteReader(strings.NewReader(string(frames))), 16, func(words []string, taken int) error {
		got, size = append(got, words), size+taken
		return nil
	})
	if !errors.Is(err, io.EOF) || len(got) != 2 || !slices.Equal(got[0], []string{"FN", "1", "-", "a\r\nb"}) ||
		!slices.Equal(got[1], []string{"KILL", "1"}) || size != len(frames) {
		t.Errorf("%q, %d of %d bytes, %v", got, size, len(frames), err)
	}
	for _, bad := range []string{"hello\r\n", string(resp.AppendArray(nil, strings.Repeat("x", 17)))} {
		if err := resp.ReadCommands(strings.NewReader(bad), 16, func([]string, int) error { return nil }); !errors.Is(err, resp.ErrMalformed) {
			t.Errorf("%q: %v", bad, err)
		}
	}
	enough := errors.New("enough")
	if err := resp.ReadCommands(strings.NewReader(string(frames)), 16, func([]string, int) error { return enough }); !errors.Is(err, enough) {
		t.Error(err)
	}
}
