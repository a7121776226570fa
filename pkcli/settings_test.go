package pkcli

import (
	"errors"
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against changes of the settings file that are missed, applied twice, or reported at each check.
func TestChangesOfTheSettingsFile(t *testing.T) {
	errInvalid := errors.New("invalid")
	path := filepath.Join(t.TempDir(), "settings")
	write := func(text string) { assert.NilError(t, os.WriteFile(path, []byte(text), 0o600)) }
	f := SettingsFile[string]{path: path, parse: func(_ string, body []byte) (string, error) {
		if string(body) == "bad" {
			return "", errInvalid
		}
		return string(body), nil
	}}
	check := func(want string, wantErr error) {
		t.Helper()
		s, changed, err := f.ReadChanged()
		assert.ErrorIs(t, err, wantErr)
		assert.Equal(t, changed, want != "")
		assert.Equal(t, s, want)
	}
	_, err := f.Read()
	assert.ErrorIs(t, err, os.ErrNotExist)
	write("one")
	s, err := f.Read()
	assert.NilError(t, err)
	assert.Equal(t, s, "one")
	check("", nil)
	write("two")
	check("two", nil)
	check("", nil)
	write("bad")
	check("", errInvalid)
	check("", nil)
	assert.NilError(t, os.Remove(path))
	check("", os.ErrNotExist)
	check("", nil)
	write("two")
	check("two", nil)
	assert.NilError(t, os.Remove(path))
	check("", os.ErrNotExist)
}
