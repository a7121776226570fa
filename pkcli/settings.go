package pkcli

import (
	"bytes"
	"fmt"
	"os"
)

// SettingsFile is the settings file of a daemon.
type SettingsFile[S any] struct {
	path  string
	parse func(file string, body []byte) (S, error)
	// body is the content at the last read.
	body []byte
	// unreadable is set if the last read failed.
	unreadable bool
}

// Read reads and parses the file.
func (f *SettingsFile[S]) Read() (S, error) {
	body, err := os.ReadFile(f.path)
	if err != nil {
		var none S
		return none, fmt.Errorf("--settings: %w", err)
	}
	f.body = body
	return f.parse(f.path, body)
}

// ReadChanged reads the file and reports whether it has changed since the last read. It returns the error of a changed
// file once.
func (f *SettingsFile[S]) ReadChanged() (s S, changed bool, err error) {
	body, err := os.ReadFile(f.path)
	if err != nil {
		if f.unreadable {
			return s, false, nil
		}
		f.unreadable = true
		return s, false, err
	}
	f.unreadable = false
	if bytes.Equal(body, f.body) {
		return s, false, nil
	}
	f.body = body
	s, err = f.parse(f.path, body)
	return s, err == nil, err
}
