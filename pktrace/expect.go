package pktrace

import (
	"time"

	"peridotknot.example/pkyaml"
)

// Expect is the stated outcome of a trace. Every replay is checked as well for what no trace may
// show: doubled or crossed answers, layers out of order, and executed calls reported as not run.
type Expect struct {
	// MaxLostShare, MaxLateShare and MaxRefusedShare are fractions of all requests of the trace.
	MaxLostShare    float64 `yaml:"max_lost_share" json:"max_lost_share"`
	MaxLateShare    float64 `yaml:"max_late_share" json:"max_late_share"`
	MaxRefusedShare float64 `yaml:"max_refused_share" json:"max_refused_share"`
	// FirstTokenP95 and BetweenTokensP95 bound the 95th percentiles over the whole trace.
	FirstTokenP95    time.Duration `yaml:"first_token_p95" json:"first_token_p95"`
	BetweenTokensP95 time.Duration `yaml:"between_tokens_p95" json:"between_tokens_p95"`
	// MinGoodputShare is the minimum goodput, as a fraction of its bound.
	MinGoodputShare float64 `yaml:"min_goodput_share" json:"min_goodput_share"`
	// MaxRecovery bounds the recovery time of each fault.
	MaxRecovery time.Duration `yaml:"max_recovery" json:"max_recovery"`
}

// ParseExpect parses a stated outcome. Errors in the file are returned as pkyaml.Faults.
func ParseExpect(file string, body []byte) (Expect, error) {
	x, doc, err := pkyaml.Decode[Expect](file, body)
	if err != nil {
		return x, err
	}
	c := pkyaml.Checker{Doc: doc}
	for key, d := range map[string]time.Duration{
		"first_token_p95":    x.FirstTokenP95,
		"between_tokens_p95": x.BetweenTokensP95,
		"max_recovery":       x.MaxRecovery,
	} {
		c.Require(d > 0, key+" is missing or not above zero", key)
	}
	return x, c.Err()
}
