package resp

import "io"

// readChunkBytes is the size of one read.
const readChunkBytes = 4096

// ReadCommands reads commands, as a worker receives them, and calls handle with the elements of each and its size in
// bytes. It returns the reason why it ended: the connection has, a command is malformed or has an element longer than
// maxBytes, or handle has returned an error.
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
			elements, taken, err := ParseArray(buffered, maxBytes)
			if err != nil {
				return err
			}
			if taken == 0 {
				break
			}
			texts := make([]string, len(elements))
			for i, element := range elements {
				texts[i] = string(element)
			}
			buffered = buffered[taken:]
			if err := handle(texts, taken); err != nil {
				return err
			}
		}
		if len(buffered) == 0 {
			buffered = nil
		}
	}
}
