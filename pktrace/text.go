package pktrace

import (
	"fmt"
	"io"
	"strings"
	"time"
)

// WriteText writes the report as plain text.
func (r *Report) WriteText(w io.Writer) error {
	var b strings.Builder
	fmt.Fprintf(&b, "%s: %d requests in %s\n", r.Name, r.Requests, r.Took.Round(100*time.Millisecond))
	for _, c := range Classes {
		n := r.Counts[c.String()]
		fmt.Fprintf(&b, "  %-8s %6d  %6.2f%%\n", c, n, 100*float64(n)/float64(max(r.Requests, 1)))
	}
	fmt.Fprintf(&b, "  told not run but ran: %d, layers out of order: %d\n", r.NotRunButRan, r.LayerOrderViolations)
	fmt.Fprintf(&b, "  first token     p50 %-10s p95 %-10s p99 %s\n", r.FirstToken.P50, r.FirstToken.P95, r.FirstToken.P99)
	fmt.Fprintf(&b, "  between tokens  p50 %-10s p95 %-10s p99 %s\n", r.BetweenTokens.P50, r.BetweenTokens.P95, r.BetweenTokens.P99)
	g := r.Goodput
	fmt.Fprintf(&b, "  goodput %.0f tokens/s, %.3f of the bound (offered %.0f, engines' capacity %.0f)\n", g.TokensPerSecond, g.Share, g.Offered, g.Capacity)
	for _, v := range r.Recoveries {
		fmt.Fprintf(&b, "  fault %-14s %-22s at %-8s recovery %-8s longest gap %-8s disturbed %d\n", v.Fault.Name, v.Fault.Target,
			v.At.Round(time.Millisecond), v.Time.Round(time.Millisecond), v.Gap.Round(time.Millisecond), v.Disturbed)
	}
	for _, e := range r.Examples {
		fmt.Fprintf(&b, "  not whole: %s\n", strings.TrimSpace(e))
	}
	for _, m := range r.Misses {
		fmt.Fprintf(&b, "  MISSED %s\n", m)
	}
	if r.Held() {
		b.WriteString("  every stated outcome holds\n")
	}
	_, err := io.WriteString(w, b.String())
	return err
}
