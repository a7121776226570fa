package pksample

import (
	"embed"
	"fmt"
	"path"

	"go.yaml.in/yaml/v3"

	"peridotknot.example/pkid"
)

//go:embed aare glenmore
var files embed.FS

// Names are the names of the samples.
var Names = []string{"aare", "glenmore"}

// Files of a sample.
const (
	FileManifest = "manifest.yaml"
	FileKeys     = "keys.yaml"
	FileStandins = "standins.yaml"
	FileTrace    = "trace.jsonl"
	FileCalm     = "calm.jsonl"
	FileExpect   = "expect.yaml"
)

// File returns the contents of a file of a sample.
func File(sample, name string) ([]byte, error) {
	raw, err := files.ReadFile(path.Join(sample, name))
	if err != nil {
		return nil, fmt.Errorf("sample %q has no file %s", sample, name)
	}
	return raw, nil
}

// Keys returns the API keys of a sample's accounts.
func Keys(sample string) (map[pkid.AccountID]string, error) {
	raw, err := File(sample, FileKeys)
	if err != nil {
		return nil, err
	}
	keys := map[pkid.AccountID]string{}
	if err := yaml.Unmarshal(raw, &keys); err != nil {
		return nil, fmt.Errorf("keys of sample %q: %w", sample, err)
	}
	return keys, nil
}
