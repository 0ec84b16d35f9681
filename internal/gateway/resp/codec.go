// Package resp sends calls to workers as RESP arrays of bulk strings, with several calls on a connection, and matches
// responses to calls. The codec does no I/O. The package tracks which bytes have been written to a connection, and does
// not interpret the elements of messages other than their ID.
package resp

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
	"strings"
)

// ErrMalformed is the error for bytes that are not an array of bulk strings.
var ErrMalformed = errors.New("resp: malformed")

const (
	// maxElements is the maximum number of elements of an array.
	maxElements = 8

	// maxLengthDigits is the maximum number of digits of a length.
	maxLengthDigits = 10

	// minLengthLine is the size of the shortest line with a length: the prefix, a digit and a carriage return.
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

// ParseArray parses an array at the beginning of b. It returns the elements, which are slices of b, and the number of
// bytes consumed, which is 0 if the array is not complete. No element may be longer than maxBytes.
func ParseArray(b []byte, maxBytes int) (elements [][]byte, consumed int, err error) {
	n, at, err := parseLength(b, 0, '*', maxElements)
	if err != nil || at == 0 {
		return nil, 0, err
	}
	if n == 0 {
		return nil, 0, fmt.Errorf("%w: empty array", ErrMalformed)
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
				return nil, 0, fmt.Errorf("%w: element is not followed by CRLF", ErrMalformed)
			}
			return nil, 0, nil
		}
		if b[end] != '\r' || b[end+1] != '\n' {
			return nil, 0, fmt.Errorf("%w: element is not followed by CRLF", ErrMalformed)
		}
		elements, at = append(elements, b[from:end:end]), end+2
	}
	return elements, at, nil
}

// parseLength parses the line at offset at, which consists of a prefix and a length. It returns the length and the
// offset of the next line, which is 0 if the line is not complete.
func parseLength(b []byte, at int, prefix byte, maxLength int) (n, next int, err error) {
	line := b[at:]
	if len(line) > 0 && line[0] != prefix {
		return 0, 0, fmt.Errorf("%w: got the prefix %q, want %q", ErrMalformed, line[0], prefix)
	}
	end := bytes.IndexByte(line, '\n')
	digits := line
	if end >= 0 {
		digits = line[:end]
	}
	for i, digit := range digits {
		last := i == len(digits)-1 && digit == '\r'
		if i > maxLengthDigits+1 || i > 0 && (digit < '0' || digit > '9') && !last {
			return 0, 0, fmt.Errorf("%w: length is not a valid number", ErrMalformed)
		}
	}
	if end < 0 {
		return 0, 0, nil
	}
	if end < minLengthLine || line[end-1] != '\r' {
		return 0, 0, fmt.Errorf("%w: length is missing or not followed by CRLF", ErrMalformed)
	}
	n, err = strconv.Atoi(string(line[1 : end-1]))
	if err != nil || n > maxLength {
		return 0, 0, fmt.Errorf("%w: length %s is above the limit", ErrMalformed, line[1:end-1])
	}
	return n, at + end + 1, nil
}

// ParsePairs parses a list of name=value pairs separated by commas, the format of the fields of commands and responses.
// A dash stands for an empty list.
func ParsePairs(text string) map[string]string {
	pairs := map[string]string{}
	for part := range strings.SplitSeq(text, ",") {
		if name, value, found := strings.Cut(part, "="); found {
			pairs[name] = value
		}
	}
	return pairs
}
