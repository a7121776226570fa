package pkhead

import (
	"fmt"

	"peridotknot.example/pkpack"
)

// Pack compresses a body for the store and for peers. Every change of the manifest
// is sent whole to every VM.
func Pack(body []byte) ([]byte, error) {
	packed, err := pkpack.Pack(body)
	if err != nil {
		return nil, fmt.Errorf("pack manifest: %w", err)
	}
	return packed, nil
}

// Unpack reverses Pack.
func Unpack(packed []byte) ([]byte, error) {
	body, err := pkpack.Unpack(packed)
	if err != nil {
		return nil, fmt.Errorf("unpack manifest: %w", err)
	}
	return body, nil
}
