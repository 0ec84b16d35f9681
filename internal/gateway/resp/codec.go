// Package resp sends calls to workers as RESP arrays of bulk strings, many on a connection, and matches the
// responses. The codec does no I/O. The package knows which bytes have left, and nothing of what the elements mean.
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
	// maxElements is the largest number of elements of an array.
	maxElements = 8

	// maxLengthDigits is the largest number of digits of a length.
	maxLengthDigits = 10

	// minLengthLine is the shortest line of a length: its mark, a digit and a carriage return.
	minLengthLine = 3
)

// AppendArray appends an array of bulk strings.
func AppendArray(b []byte, elements ...string) []byte {
	b = append(b, '*')
	b = strconv.AppendInt(b, int64(len(elements)), 10)
	for _, element := range elements {
		b = append(b, "\r\n$"...)
		b = strconv.AppendInt(b, int64(len(element)), 10)
		b = append(b, "\r\n"...)
		b = append(b, element...)
	}
	return append(b, "\r\n"...)
}

// ParseArray parses an array from the beginning of b and returns how many bytes it took; 0: it is not complete yet. The
// elements share b's memory. None may be longer than maxBytes.
func ParseArray(b []byte, maxBytes int) (elements [][]byte, taken int, err error) {
	n, at, err := parseLength(b, 0, '*', maxElements)
	if err != nil || at == 0 {
		return nil, 0, err
	}
	if n == 0 {
		return nil, 0, fmt.Errorf("%w: an empty array", ErrMalformed)
	}
	elements = make([][]byte, 0, n)
	for range n {
		size, from, err := parseLength(b, at, '$', maxBytes)
		if err != nil || from == 0 {
			return nil, 0, err
		}
		end := from + size
		if len(b) < end+2 {
			if len(b) > end && b[end] != '\r' {
				return nil, 0, fmt.Errorf("%w: an element longer than its length", ErrMalformed)
			}
			return nil, 0, nil
		}
		if b[end] != '\r' || b[end+1] != '\n' {
			return nil, 0, fmt.Errorf("%w: an element longer than its length", ErrMalformed)
		}
		elements, at = append(elements, b[from:end:end]), end+2
	}
	return elements, at, nil
}

// parseLength parses a line of a mark and a number from a place on, and returns where the next line begins; 0: the
// line is not complete yet.
func parseLength(b []byte, at int, mark byte, maxLength int) (n, next int, err error) {
	line := b[at:]
	if len(line) > 0 && line[0] != mark {
		return 0, 0, fmt.Errorf("%w: %q where %q belongs", ErrMalformed, line[0], mark)
	}
	end := bytes.IndexByte(line, '\n')
	digits := line
	if end >= 0 {
		digits = line[:end]
	}
	for i, digit := range digits {
		last := i == len(digits)-1 && digit == '\r'
		if i > maxLengthDigits+1 || i > 0 && (digit < '0' || digit > '9') && !last {
			return 0, 0, fmt.Errorf("%w: no length", ErrMalformed)
		}
	}
	if end < 0 {
		return 0, 0, nil
	}
	if end < minLengthLine || line[end-1] != '\r' {
		return 0, 0, fmt.Errorf("%w: no length", ErrMalformed)
	}
	n, err = strconv.Atoi(string(line[1 : end-1]))
	if err != nil || n > maxLength {
		return 0, 0, fmt.Errorf("%w: a length of %s", ErrMalformed, line[1:end-1])
	}
	return n, at + end + 1, nil
}

// ParsePairs parses a list of name=value pairs, as the fields of commands and responses are; a dash is an empty list.
func ParsePairs(text string) map[string]string {
	pairs := map[string]string{}
	for part := range strings.SplitSeq(text, ",") {
		if name, value, found := strings.Cut(part, "="); found {
			pairs[name] = value
		}
	}
	return pairs
}
