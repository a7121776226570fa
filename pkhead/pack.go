package pkhead

import (
	"bytes"
	"compress/gzip"
	"errors"
	"fmt"
	"io"
)

// maxBody bounds the unpacked body of a manifest in bytes, as a protection against
// decompression bombs.
const maxBody = 64 << 20

var errTooLarge = errors.New("manifest body exceeds the limit of 64 MiB")

// Pack compresses a body for the store and for peers. Every change of the manifest
// is sent whole to every VM.
func Pack(body []byte) ([]byte, error) {
	var out bytes.Buffer
	w := gzip.NewWriter(&out)
	if _, err := w.Write(body); err != nil {
		return nil, fmt.Errorf("pack manifest: %w", err)
	}
	if err := w.Close(); err != nil {
		return nil, fmt.Errorf("pack manifest: %w", err)
	}
	return out.Bytes(), nil
}

// Unpack reverses Pack.
func Unpack(packed []byte) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return nil, fmt.Errorf("unpack manifest: %w", err)
	}
	body, err := io.ReadAll(io.LimitReader(r, maxBody+1))
	if err != nil {
		return nil, fmt.Errorf("unpack manifest: %w", err)
	}
	if len(body) > maxBody {
		return nil, errTooLarge
	}
	return body, nil
}
