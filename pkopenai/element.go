package pkopenai

import (
	"bytes"
	"encoding/json"
)

// eachElement decodes the elements of a JSON list one after the other: a list of short ones takes many times its size
// as a slice.
func eachElement[T any](raw []byte, do func(T) error) error {
	dec := json.NewDecoder(bytes.NewReader(raw))
	if _, err := dec.Token(); err != nil {
		return err
	}
	for dec.More() {
		var element T
		if err := dec.Decode(&element); err != nil {
			return err
		}
		if err := do(element); err != nil {
			return err
		}
	}
	return nil
}
