package pkmeasure

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"syscall"
	"time"
)

// Point is a measured value Y at X.
type Point struct {
	X float64 `json:"x"`
	Y float64 `json:"y"`
}

// Series is a measurement over one varied dimension, with its linear fit.
type Series struct {
	Name      string  `json:"name"`
	X         string  `json:"x"`
	Y         string  `json:"y"`
	Points    []Point `json:"points"`
	Slope     float64 `json:"slope"`
	Intercept float64 `json:"at_0"`
	// Residual is the largest distance of a point from the line, relative to the largest value.
	Residual float64 `json:"residual"`
}

// fit returns the series with its least-squares line.
func (s Series) fit() Series {
	n := float64(len(s.Points))
	var sx, sy, sxx, sxy, maxAbs float64
	for _, p := range s.Points {
		sx += p.X
		sy += p.Y
		sxx += p.X * p.X
		sxy += p.X * p.Y
		maxAbs = max(maxAbs, math.Abs(p.Y))
	}
	if d := n*sxx - sx*sx; d != 0 {
		s.Slope = (n*sxy - sx*sy) / d
	}
	s.Intercept = (sy - s.Slope*sx) / n
	for _, p := range s.Points {
		if maxAbs > 0 {
			s.Residual = max(s.Residual, math.Abs(p.Y-s.at(p.X))/maxAbs)
		}
	}
	return s
}

// at returns the value of the fitted line at x.
func (s Series) at(x float64) float64 { return s.Intercept + s.Slope*x }

// Write writes series as JSON lines.
func Write(w io.Writer, all []Series) error {
	enc := json.NewEncoder(w)
	for _, s := range all {
		if err := enc.Encode(s); err != nil {
			return fmt.Errorf("write series: %w", err)
		}
	}
	return nil
}

// Read reads series from JSON lines.
func Read(r io.Reader) ([]Series, error) {
	var out []Series
	in := bufio.NewScanner(r)
	for in.Scan() {
		var s Series
		if err := json.Unmarshal(in.Bytes(), &s); err != nil {
			return nil, fmt.Errorf("read series: %w", err)
		}
		out = append(out, s)
	}
	return out, in.Err()
}

// cpuTime returns the processor time of this process, or 0 if it is not available.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// cpuTimeOf returns the processor time of this process during do.
func cpuTimeOf(do func()) time.Duration {
	before := cpuTime()
	do()
	return cpuTime() - before
}
