package pkmeasure

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
)

const (
	plotW, plotH = 480.0, 240.0
	plotPad      = 56.0
)

// Plot writes an SVG file per series into a folder, which is created if necessary.
func Plot(folder string, all []Series) error {
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return fmt.Errorf("create plot folder: %w", err)
	}
	for _, s := range all {
		if err := os.WriteFile(filepath.Join(folder, s.Name+".svg"), []byte(s.svg()), 0o644); err != nil {
			return fmt.Errorf("write plot: %w", err)
		}
	}
	return nil
}

func (s Series) svg() string {
	maxX, maxY := 1e-9, 1e-9
	for _, p := range s.Points {
		maxX, maxY = max(maxX, p.X), max(maxY, p.Y)
	}
	x := func(v float64) float64 { return plotPad + v/maxX*(plotW-2*plotPad) }
	y := func(v float64) float64 { return plotH - plotPad/2 - max(v, 0)/maxY*(plotH-plotPad-20) }
	var b strings.Builder
	fmt.Fprintf(&b, `<svg xmlns="http://www.w3.org/2000/svg" viewBox="0 0 %.0f %.0f" font-family="sans-serif" font-size="11">`, plotW, plotH)
	fmt.Fprintf(&b, `<text x="8" y="14">%s: %s</text>`, s.Name, s.Y)
	fmt.Fprintf(&b, `<line x1="%.1f" y1="%.1f" x2="%.1f" y2="%.1f" stroke="#b06020"/>`, x(0), y(s.at(0)), x(maxX), y(s.at(maxX)))
	for _, p := range s.Points {
		fmt.Fprintf(&b, `<circle cx="%.1f" cy="%.1f" r="3" fill="#35608a"/><text x="%.1f" y="%.1f">%.4g</text>`, x(p.X), y(p.Y), x(p.X)+5, y(p.Y)-5, p.Y)
		fmt.Fprintf(&b, `<text x="%.1f" y="%.1f">%.4g</text>`, x(p.X)-6, plotH-14, p.X)
	}
	fmt.Fprintf(&b, `<text x="%.1f" y="%.1f">%s</text></svg>`, plotW/2-60, plotH-2, s.X)
	return b.String() + "\n"
}
