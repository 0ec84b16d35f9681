package worker

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/fxamacker/cbor/v2"

	"lupinpond/internal/base/durable"
)

// recordLog appends records to a file such that a record that could not be written in full leaves nothing behind: what
// comes after half a record would be read as its rest.
type recordLog struct {
	file *os.File
	size int64 // of the complete records
	torn bool  // the file holds a part of one more
}

// append writes one record. After an error the record is not in the file, now or after a later append.
func (l *recordLog) append(record any) error {
	if err := l.repair(); err != nil {
		return err
	}
	encoded, err := durable.EncMode().Marshal(record)
	if err != nil {
		return err
	}
	if _, err := l.file.WriteAt(encoded, l.size); err != nil {
		l.torn = true
		return errors.Join(err, l.repair())
	}
	l.size += int64(len(encoded))
	return nil
}

// repair cuts off what a failed write has left. Until that succeeds nothing is appended.
func (l *recordLog) repair() error {
	if !l.torn {
		return nil
	}
	if err := l.file.Truncate(l.size); err != nil {
		return fmt.Errorf("truncate torn record: %w", err)
	}
	l.torn = false
	return nil
}

// sync makes what was appended survive a crash of the machine.
func (l *recordLog) sync() error { return l.file.Sync() }

// close closes the file.
func (l *recordLog) close() error { return l.file.Close() }

// recordReader reads the records of a recordLog in turn.
type recordReader struct {
	file    *os.File
	decoder *cbor.Decoder
}

// newRecordReader reads from the beginning of a file.
func newRecordReader(file *os.File) *recordReader {
	return &recordReader{file, cbor.NewDecoder(bufio.NewReader(file))}
}

// next reads one record. io.EOF: there are no more, or the last one is torn.
func (r *recordReader) next(record any) error {
	start := int64(r.decoder.NumBytesRead())
	err := r.decoder.Decode(record)
	if errors.Is(err, io.ErrUnexpectedEOF) {
		return io.EOF
	}
	if err == nil || errors.Is(err, io.EOF) {
		return err
	}
	rest := io.NewSectionReader(r.file, start, 1<<62)
	if zeros, zerosErr := onlyZeros(rest); zerosErr == nil && zeros {
		return io.EOF
	}
	return err
}

// onlyZeros reports whether a reader has nothing but zeros.
func onlyZeros(from io.Reader) (bool, error) {
	in := bufio.NewReader(from)
	for {
		b, err := in.ReadByte()
		if errors.Is(err, io.EOF) {
			return true, nil
		}
		if err != nil || b != 0 {
			return false, err
		}
	}
}
