package main

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

// programs is the folder of the project's programs, which all tests share.
var programs struct {
	dir   string
	build func() error
}

func TestMain(m *testing.M) {
	os.Exit(runTests(m))
}

func runTests(m *testing.M) int {
	dir, err := os.MkdirTemp("", "peridotknot-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	programs.dir = dir
	programs.build = sync.OnceValue(func() error {
		out, err := exec.Command("go", "build", "-o", dir, ".", "../peridotknotd", "../peridotknot-edge", "../peridotknot-standin").CombinedOutput()
		if err != nil {
			return fmt.Errorf("%w: %s", err, out)
		}
		return nil
	})
	return m.Run()
}

// buildPrograms builds all programs of the project once and returns their folder.
func buildPrograms(t *testing.T) string {
	t.Helper()
	assert.NilError(t, programs.build())
	return programs.dir
}

// Guards against wrong exit codes and panics: help must exit with code 0, and a mistake on the
// command line must be named and exit with code 2.
func TestCommandLines(t *testing.T) {
	dir := buildPrograms(t)
	type row struct {
		line string
		code int
		want string
	}
	cases := []row{
		{"peridotknot --help", 0, "Available commands"},
		{"peridotknot", 2, "Available commands"},
		{"peridotknot nonsense", 2, "nonsense"},
		{"peridotknot --nonsense", 2, "nonsense"},
		{"peridotknot --output", 2, "output"},
		{"peridotknot --version", 0, "peridotknot"},
		{"peridotknotd --help", 0, "--settings"},
		{"peridotknotd", 2, "--settings"},
		{"peridotknotd --nonsense", 2, "nonsense"},
		{"peridotknotd --settings", 2, "settings"},
		{"peridotknotd --settings none.yaml", 2, "none.yaml"},
		{"peridotknotd nonsense", 2, "nonsense"},
		{"peridotknot-edge --help", 0, "--settings"},
		{"peridotknot-edge", 2, "--settings"},
		{"peridotknot-edge --nonsense", 2, "nonsense"},
		{"peridotknot-edge --settings", 2, "settings"},
		{"peridotknot-edge --settings none.yaml", 2, "none.yaml"},
		{"peridotknot explain --log none.log id", 2, "none.log"},
		{"peridotknot explain id", 2, "log"},
		{"peridotknot-standin --help", 0, "--settings"},
		{"peridotknot-standin", 2, "--settings"},
		{"peridotknot-standin --nonsense", 2, "nonsense"},
	}
	for _, command := range []string{"manifest", "status", "replay", "try", "keys", "trace", "measure", "explain"} {
		cases = append(cases,
			row{"peridotknot " + command + " --help", 0, "Usage"},
			row{"peridotknot " + command + " --nonsense", 2, "nonsense"},
		)
	}
	for _, c := range cases {
		t.Run(c.line, func(t *testing.T) {
			words := strings.Fields(c.line)
			run := exec.CommandContext(t.Context(), filepath.Join(dir, words[0]), words[1:]...)
			run.Env = append(os.Environ(), "PERIDOTKNOT_"+"BOOT=")
			out, err := run.CombinedOutput()
			var exit *exec.ExitError
			if err != nil && !errors.As(err, &exit) {
				t.Fatal(err)
			}
			assert.Equal(t, run.ProcessState.ExitCode(), c.code, string(out))
			assert.Assert(t, strings.Contains(string(out), c.want), string(out))
			assert.Assert(t, !strings.Contains(string(out), "panic"), string(out))
		})
	}
}
