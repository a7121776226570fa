package pkpack

import (
	"bytes"
	"compress/gzip"
	"errors"
	"fmt"
	"io"
)

// MaxBody bounds an unpacked body in bytes, as a protection against decompression bombs.
const MaxBody = 64 << 20

// ErrTooLarge is returned if an unpacked body exceeds MaxBody.
var ErrTooLarge = errors.New("body exceeds the limit of 64 MiB")

// Pack compresses a body.
func Pack(body []byte) ([]byte, error) {
	var out bytes.Buffer
	w := gzip.NewWriter(&out)
	if _, err := w.Write(body); err != nil {
		return nil, fmt.Errorf("pack body: %w", err)
	}
	if err := w.Close(); err != nil {
		return nil, fmt.Errorf("pack body: %w", err)
	}
	return out.Bytes(), nil
}

// Unpack reverses Pack.
func Unpack(packed []byte) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return nil, fmt.Errorf("unpack body: %w", err)
	}
	body, err := io.ReadAll(io.LimitReader(r, MaxBody+1))
	if err != nil {
		return nil, fmt.Errorf("unpack body: %w", err)
	}
	if len(body) > MaxBody {
		return nil, ErrTooLarge
	}
	return body, nil
}
