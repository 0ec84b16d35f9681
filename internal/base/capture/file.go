package capture

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/klauspost/compress/zstd"
)

const (
	magic   = "lupinpond capture"
	version = 1

	// maxDecoderMemory is the maximum memory for the decompression of a capture, in bytes.
	maxDecoderMemory = 1 << 28
)

// Header is the first CBOR item of a capture file. NewWriter sets Magic and Version.
type Header struct {
	Magic        string    `cbor:"1,keyasint"`
	Version      int       `cbor:"2,keyasint"`
	Incarnation  string    `cbor:"3,keyasint"` // name of the gateway's incarnation; a restarted gateway has a new one
	GatewayIndex int       `cbor:"4,keyasint"` // index of the gateway in the fleet
	Base         time.Time `cbor:"5,keyasint"` // time that the times of records are relative to
}

// Writer writes a compressed capture file.
type Writer struct {
	compressor *zstd.Encoder
	encoder    *cbor.Encoder
	err        error // first error of Add
}

// NewWriter writes the header of a capture file to out. Close completes the file but does not close out.
func NewWriter(out io.Writer, header Header) (*Writer, error) {
	compressor, err := zstd.NewWriter(out, zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithEncoderConcurrency(1))
	if err != nil {
		return nil, fmt.Errorf("capture: %w", err)
	}
	header.Magic = magic
	header.Version = version
	mode, err := cbor.EncOptions{Time: cbor.TimeRFC3339Nano}.EncMode() // the default truncates times to seconds
	if err != nil {
		return nil, fmt.Errorf("capture: %w", err)
	}
	w := &Writer{compressor: compressor, encoder: mode.NewEncoder(compressor)}
	if err := w.encoder.Encode(header); err != nil {
		return nil, fmt.Errorf("capture: %w", err)
	}
	return w, nil
}

// Add writes a record. After a failed write it does nothing; Close returns the error.
func (w *Writer) Add(r Record) {
	if w.err == nil {
		w.err = w.encoder.Encode(r)
	}
}

// Close completes the file and returns the first error of the Writer.
func (w *Writer) Close() error {
	if err := w.compressor.Close(); w.err == nil {
		w.err = err
	}
	if w.err != nil {
		return fmt.Errorf("capture: %w", w.err)
	}
	return nil
}

// ReadAll reads a capture file. torn reports whether the file ends within a record, as after a crash of its writer; the
// complete records before it are returned.
func ReadAll(in io.Reader) (header Header, records []Record, torn bool, err error) {
	decompressor, err := zstd.NewReader(bufio.NewReader(in), zstd.WithDecoderConcurrency(1),
		zstd.WithDecoderMaxMemory(maxDecoderMemory))
	if err != nil {
		return header, nil, false, fmt.Errorf("capture: %w", err)
	}
	defer decompressor.Close()
	mode, err := cbor.DecOptions{MaxNestedLevels: 4, MaxMapPairs: 16, MaxArrayElements: 16}.DecMode()
	if err != nil {
		return header, nil, false, fmt.Errorf("capture: %w", err)
	}
	decoder := mode.NewDecoder(decompressor)
	if header, err = readHeader(decoder); err != nil {
		return header, nil, false, fmt.Errorf("capture: header: %w", err)
	}
	records, torn, err = readRecords(decoder)
	if err != nil {
		return header, records, false, fmt.Errorf("capture: record %d: %w", len(records)+1, err)
	}
	return header, records, torn, nil
}

func readHeader(decoder *cbor.Decoder) (header Header, err error) {
	if err := decoder.Decode(&header); err != nil {
		return header, err
	}
	if header.Magic != magic || header.Version != version {
		return header, fmt.Errorf("%q version %d, this program reads %q version %d",
			header.Magic, header.Version, magic, version)
	}
	return header, nil
}

func readRecords(decoder *cbor.Decoder) (records []Record, torn bool, err error) {
	for {
		var r Record
		err := decoder.Decode(&r)
		switch {
		case errors.Is(err, io.ErrUnexpectedEOF):
			return records, true, nil
		case errors.Is(err, io.EOF):
			return records, false, nil
		case err != nil:
			return records, false, err
		case r.Kind < Opened || r.Kind > Crashed:
			return records, false, fmt.Errorf("unknown record kind %d", r.Kind)
		}
		records = append(records, r)
	}
}
