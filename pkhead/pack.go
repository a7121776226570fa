package pkhead

import (
	"bytes"
	"compress/gzip"
	"errors"
	"fmt"
	"io"
)

// maxBody bounds a manifest's body; a packed one that grows beyond it is
// hostile.
const maxBody = 64 << 20

var errTooLarge = errors.New("the manifest's body is too large")

// Pack compresses a body for the store and for peers. Most of a large manifest
// is keys and names that repeat, and every change sends all of it to every VM.
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
