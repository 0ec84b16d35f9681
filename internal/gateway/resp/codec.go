// Package resp carries requests to workers as arrays of bulk strings (RESP), many on a connection, and matches what they
// answer. The codec does no I/O. It knows which bytes have left, and nothing of what the words mean.
package resp

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
	"strings"
)

// ErrMalformed says that bytes are no array of bulk strings.
var ErrMalformed = errors.New("resp: malformed")

const (
	maxElements     = 8  // of an array
	maxLengthDigits = 10 // of a length
)

// AppendArray appends an array of bulk strings.
func AppendArray(b []byte, words ...string) []byte {
	b = append(b, '*')
	b = strconv.AppendInt(b, int64(len(words)), 10)
	for _, w := range words {
		b = append(b, "\r\n$"...)
		b = strconv.AppendInt(b, int64(len(w)), 10)
		b = append(b, "\r\n"...)
		b = append(b, w...)
	}
	return append(b, "\r\n"...)
}

// ParseArray reads one array from the beginning of b and tells how many bytes it took; 0: more must come. Words are of b's own
// bytes. No word may be longer than most.
func ParseArray(b []byte, most int) (words [][]byte, taken int, err error) {
	n, at, err := parseLength(b, 0, '*', maxElements)
	if err != nil || at == 0 {
		return nil, 0, err
	}
	if n == 0 {
		return nil, 0, fmt.Errorf("%w: an empty array", ErrMalformed)
	}
	words = make([][]byte, 0, n)
	for range n {
		size, from, err := parseLength(b, at, '$', most)
		if err != nil || from == 0 {
			return nil, 0, err
		}
		end := from + size
		if len(b) < end+2 {
			if len(b) > end && b[end] != '\r' {
				return nil, 0, fmt.Errorf("%w: a word longer than its length", ErrMalformed)
			}
			return nil, 0, nil
		}
		if b[end] != '\r' || b[end+1] != '\n' {
			return nil, 0, fmt.Errorf("%w: a word longer than its length", ErrMalformed)
		}
		words, at = append(words, b[from:end:end]), end+2
	}
	return words, at, nil
}

// parseLength reads a line of a mark and a number at a place and tells where the next line begins; 0: more must come.
func parseLength(b []byte, at int, mark byte, most int) (n, next int, err error) {
	line := b[at:]
	if len(line) > 0 && line[0] != mark {
		return 0, 0, fmt.Errorf("%w: %q where %q belongs", ErrMalformed, line[0], mark)
	}
	end := bytes.IndexByte(line, '\n')
	digits := line
	if end >= 0 {
		digits = line[:end]
	}
	for i, d := range digits {
		last := i == len(digits)-1 && d == '\r'
		if i > maxLengthDigits+1 || i > 0 && (d < '0' || d > '9') && !last {
			return 0, 0, fmt.Errorf("%w: no length", ErrMalformed)
		}
	}
	if end < 0 {
		return 0, 0, nil
	}
	if end < 3 || line[end-1] != '\r' {
		return 0, 0, fmt.Errorf("%w: no length", ErrMalformed)
	}
	n, err = strconv.Atoi(string(line[1 : end-1]))
	if err != nil || n > most {
		return 0, 0, fmt.Errorf("%w: a length of %s", ErrMalformed, line[1:end-1])
	}
	return n, at + end + 1, nil
}

// ParsePairs reads a list of name=value pairs, as commands and answers have them; a dash is none.
func ParsePairs(text string) map[string]string {
	m := map[string]string{}
	for part := range strings.SplitSeq(text, ",") {
		if name, value, found := strings.Cut(part, "="); found {
			m[name] = value
		}
	}
	return m
}
