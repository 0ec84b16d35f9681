package resp

import "io"

// readChunkBytes is the size of the buffer for one read.
const readChunkBytes = 4096

// ReadCommands reads the commands that a worker receives, and calls handle with the elements of each and its size in
// bytes. It returns the error that ended it: a failed read, a command that is malformed or has an element longer than
// maxBytes, or an error of handle.
func ReadCommands(from io.Reader, maxBytes int, handle func(elements []string, size int) error) error {
	var buffered []byte
	chunk := make([]byte, readChunkBytes)
	for {
		n, err := from.Read(chunk)
		if err != nil {
			return err
		}
		buffered = append(buffered, chunk[:n]...)
		for {
			elements, consumed, err := ParseArray(buffered, maxBytes)
			if err != nil {
				return err
			}
			if consumed == 0 {
				break
			}
			texts := make([]string, len(elements))
			for i, element := range elements {
				texts[i] = string(element)
			}
			buffered = buffered[consumed:]
			if err := handle(texts, consumed); err != nil {
				return err
			}
		}
		if len(buffered) == 0 {
			buffered = nil
		}
	}
}
