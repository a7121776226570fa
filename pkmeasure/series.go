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

// Point is one measurement.
type Point struct {
	X float64 `json:"x"`
	Y float64 `json:"y"`
}

// Series is one dimension varied, with the straight line that fits it best.
type Series struct {
	Name   string  `json:"name"`
	X      string  `json:"x"`
	Y      string  `json:"y"`
	Points []Point `json:"points"`
	Slope  float64 `json:"slope"`
	At0    float64 `json:"at_0"`
	// Residual is the largest distance of a point from the line, as a share
	// of the largest value.
	Residual float64 `json:"residual"`
}

// fit works the line out by least squares.
func (s Series) fit() Series {
	n := float64(len(s.Points))
	var sx, sy, sxx, sxy, most float64
	for _, p := range s.Points {
		sx += p.X
		sy += p.Y
		sxx += p.X * p.X
		sxy += p.X * p.Y
		most = max(most, math.Abs(p.Y))
	}
	if d := n*sxx - sx*sx; d != 0 {
		s.Slope = (n*sxy - sx*sy) / d
	}
	s.At0 = (sy - s.Slope*sx) / n
	for _, p := range s.Points {
		if most > 0 {
			s.Residual = max(s.Residual, math.Abs(p.Y-s.at(p.X))/most)
		}
	}
	return s
}

// at returns the line's value at x.
func (s Series) at(x float64) float64 { return s.At0 + s.Slope*x }

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

// processorTime returns the processor time of this process so far.
func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// spent returns the processor time that do takes.
func spent(do func()) time.Duration {
	before := processorTime()
	do()
	return processorTime() - before
}
