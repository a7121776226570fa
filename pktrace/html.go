package pktrace

import (
	"bytes"
	"encoding/json"
	"fmt"
	"html/template"
	"time"
)

// JSON returns the report as JSON.
func (r *Report) JSON() ([]byte, error) { return json.MarshalIndent(r, "", "  ") }

// plot is a plot of the page. Coordinates are in pixels.
type plot struct {
	Title  string
	Bars   []bar
	Dots   []dot
	Faults []faultMark
	// Top labels the upper end of the vertical axis.
	Top string
}

type bar struct {
	X, Y, W, H float64
	Class      string
}

type dot struct{ X, Y float64 }

// faultMark is a vertical line at the time of a fault.
type faultMark struct {
	X    float64
	Text string
}

const (
	plotWidth  = 900.0
	plotHeight = 160.0
	// bucketWidth is the time that a bar of the class plot covers.
	bucketWidth = 250 * time.Millisecond
)

// HTML returns the report as an HTML page without external resources.
func (r *Report) HTML() ([]byte, error) {
	var text bytes.Buffer
	if err := r.WriteText(&text); err != nil {
		return nil, err
	}
	var out bytes.Buffer
	err := page.Execute(&out, map[string]any{
		"Name":  r.Name,
		"Held":  r.Held(),
		"Text":  text.String(),
		"Plots": []plot{r.classPlot(), r.tokenPlot()},
	})
	return out.Bytes(), err
}

func (r *Report) x(at time.Duration) float64 {
	return plotWidth * float64(at) / float64(max(r.Took, 1))
}

func (r *Report) faultMarks() []faultMark {
	var out []faultMark
	for _, v := range r.Recoveries {
		out = append(out, faultMark{X: r.x(v.At), Text: string(v.Fault.Name)})
	}
	return out
}

// classPlot shows for each interval how many requests of each class ended in it.
func (r *Report) classPlot() plot {
	counts := make([][6]int, int(r.Took/bucketWidth)+1)
	peak := 1
	for _, res := range r.results {
		if res.Line.Kind == KindFault {
			continue
		}
		at := min(int(res.Ended/bucketWidth), len(counts)-1)
		counts[at][res.Class]++
	}
	for _, c := range counts {
		sum := 0
		for _, n := range c {
			sum += n
		}
		peak = max(peak, sum)
	}
	p := plot{Title: "requests by what became of them", Faults: r.faultMarks(), Top: fmt.Sprintf("%d in %s", peak, bucketWidth)}
	for i, c := range counts {
		y := plotHeight
		for _, class := range Classes {
			h := plotHeight * float64(c[class]) / float64(peak)
			y -= h
			if h > 0 {
				p.Bars = append(p.Bars, bar{X: r.x(time.Duration(i) * bucketWidth), Y: y, W: r.x(bucketWidth), H: h, Class: class.String()})
			}
		}
	}
	return p
}

// tokenPlot shows the time to the first token of each stream.
func (r *Report) tokenPlot() plot {
	var peak time.Duration = 1
	for _, res := range r.results {
		if res.Line.Stream {
			peak = max(peak, res.FirstToken)
		}
	}
	p := plot{Title: "time to the first token", Faults: r.faultMarks(), Top: peak.Round(time.Millisecond).String()}
	for _, res := range r.results {
		if res.Line.Stream && res.Tokens > 0 {
			p.Dots = append(p.Dots, dot{X: r.x(res.Began), Y: plotHeight * (1 - float64(res.FirstToken)/float64(peak))})
		}
	}
	return p
}

var page = template.Must(template.New("report").Parse(`<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>{{.Name}}: replay report</title><style>
body{font:14px sans-serif;margin:2em;max-width:960px}
pre{background:#f4f4f2;padding:1em;overflow:auto}
svg{background:#fafaf8;border:1px solid #ccc}
.whole{fill:#4f7f4f}.refused{fill:#d0a030}.late{fill:#b06020}.lost{fill:#b02020}.doubled{fill:#6020a0}.crossed{fill:#2040b0}
.fault{stroke:#333;stroke-dasharray:3 3}.dot{fill:#35608a;fill-opacity:.5}
text{font-size:11px}
</style></head><body>
<h1>{{.Name}}: {{if .Held}}every stated outcome holds{{else}}a stated outcome does not hold{{end}}</h1>
{{range .Plots}}<h2>{{.Title}}</h2><svg viewBox="0 -14 900 176" width="900">
{{range .Bars}}<rect class="{{.Class}}" x="{{printf "%.1f" .X}}" y="{{printf "%.1f" .Y}}" width="{{printf "%.1f" .W}}" height="{{printf "%.1f" .H}}"/>{{end}}
{{range .Dots}}<circle class="dot" cx="{{printf "%.1f" .X}}" cy="{{printf "%.1f" .Y}}" r="2"/>{{end}}
{{range .Faults}}<line class="fault" x1="{{printf "%.1f" .X}}" x2="{{printf "%.1f" .X}}" y1="0" y2="160"/><text x="{{printf "%.1f" .X}}" y="-3">{{.Text}}</text>{{end}}
<text x="820" y="10">{{.Top}}</text></svg>{{end}}
<p>green whole, yellow refused as not run, brown late, red lost, violet doubled, blue crossed; dashed lines are faults</p>
<pre>{{.Text}}</pre></body></html>
`))
