package pkmeasure

import (
	"bytes"
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// The table of the capacity page must match the committed measurements.
func TestCapacityPageMatchesMeasurements(t *testing.T) {
	raw, err := os.ReadFile("../docs/measured.jsonl")
	assert.NilError(t, err)
	series, err := Read(bytes.NewReader(raw))
	assert.NilError(t, err)
	table, err := Table(series)
	assert.NilError(t, err)
	page, err := os.ReadFile("../docs/CAPACITY.md")
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(string(page), table),
		"docs/CAPACITY.md does not contain the output of 'peridotknot measure --table docs/measured.jsonl'")
}

func TestFit(t *testing.T) {
	s := Series{Points: []Point{{1, 5}, {2, 7}, {3, 9}, {4, 11}}}.fit()
	assert.Equal(t, s.Slope, 2.0)
	assert.Equal(t, s.Intercept, 3.0)
	assert.Equal(t, s.Residual, 0.0)
	nonlinear := Series{Points: []Point{{1, 1}, {2, 4}, {3, 9}, {4, 16}}}.fit()
	assert.Assert(t, nonlinear.Residual > 0.05)
}

func TestTableReportsMissingSeries(t *testing.T) {
	_, err := Table(nil)
	assert.ErrorContains(t, err, "is missing")
}
