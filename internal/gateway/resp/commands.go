package resp

import "io"

// readChunkBytes is what is read at a time.
const readChunkBytes = 4096

// ReadCommands reads arrays, as a worker gets them, and has take called with the words of each and the bytes that it took, until
// the connection ends, something malformed or a word longer than most comes, or take returns an error. The error is the reason.
func ReadCommands(from io.Reader, most int, take func(words []string, size int) error) error {
	var have []byte
	part := make([]byte, readChunkBytes)
	for {
		n, err := from.Read(part)
		if err != nil {
			return err
		}
		have = append(have, part[:n]...)
		for {
			words, taken, err := ParseArray(have, most)
			if err != nil {
				return err
			}
			if taken == 0 {
				break
			}
			texts := make([]string, len(words))
			for i, word := range words {
				texts[i] = string(word)
			}
			have = have[taken:]
			if err := take(texts, taken); err != nil {
				return err
			}
		}
		if len(have) == 0 {
			have = nil
		}
	}
}
