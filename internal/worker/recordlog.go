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

// recordLog appends records to a file. If a record cannot be written in full, the part that was written is removed
// before the next append; otherwise a reader would decode the next record as the rest of the partial one.
type recordLog struct {
	file *os.File
	size int64 // total size of the complete records
	torn bool  // whether a partial record follows the complete ones
}

// append writes one record. If it returns an error, readers will not find the record in the file.
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

// repair removes the partial record that a failed write left. No record is appended until repair succeeds.
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

// sync flushes appended records to disk, so that they survive a crash of the machine.
func (l *recordLog) sync() error { return l.file.Sync() }

// close closes the log's file.
func (l *recordLog) close() error { return l.file.Close() }

// recordReader reads the records of a recordLog in order.
type recordReader struct {
	file    *os.File
	decoder *cbor.Decoder
}

// newRecordReader returns a reader of the records in a file. The file's offset must be at its beginning.
func newRecordReader(file *os.File) *recordReader {
	return &recordReader{file, cbor.NewDecoder(bufio.NewReader(file))}
}

// next reads one record. It returns io.EOF after the last complete record: at the end of the file, at a torn record, or
// if only zeros follow.
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

// onlyZeros reports whether a reader returns only zero bytes until its end.
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
