package pktrace

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"time"

	"peridotknot.example/pkid"
)

// Kind is the kind of a trace line.
type Kind string

// Kinds of trace lines.
const (
	KindModel Kind = "model"
	KindCall  Kind = "call"
	KindFault Kind = "fault"
)

// Line is a request or a fault of a trace. Which fields are set depends on its kind.
type Line struct {
	AtMS int64 `json:"at_ms"`
	Kind Kind  `json:"kind"`

	Account    pkid.AccountID `json:"account,omitempty"`
	DeadlineMS int64          `json:"deadline_ms,omitempty"`

	Model        pkid.ModelID `json:"model,omitempty"`
	Stream       bool         `json:"stream,omitempty"`
	PromptTokens pkid.Tokens  `json:"prompt_tokens,omitempty"`
	OutputTokens pkid.Tokens  `json:"output_tokens,omitempty"`

	Service    pkid.ServiceID `json:"service,omitempty"`
	Method     string         `json:"method,omitempty"`
	BodyBytes  int64          `json:"body_bytes,omitempty"`
	Idempotent bool           `json:"idempotent,omitempty"`

	Fault *Fault `json:"fault,omitempty"`
}

// Fault is a failure or an operator's action that is injected during a replay.
type Fault struct {
	Name FaultName `json:"name"`
	// Target is the name of the affected target or entry.
	Target string `json:"target,omitempty"`
	// ForMS is the duration in milliseconds; zero lasts until the end of the replay.
	ForMS int64 `json:"for_ms,omitempty"`
	// ExtraMS is the latency in milliseconds that a slow link or store adds.
	ExtraMS int64 `json:"extra_ms,omitempty"`
}

// FaultName is the kind of a fault.
type FaultName string

// Kinds of faults.
const (
	FaultKill            FaultName = "kill"
	FaultSilence         FaultName = "silence"
	FaultSlow            FaultName = "slow"
	FaultLeave           FaultName = "leave"
	FaultStoreDown       FaultName = "store_down"
	FaultVMListEmpty     FaultName = "vm_list_empty"
	FaultPublish         FaultName = "publish"
	FaultEntryStop       FaultName = "entry_stop"
	FaultReplaceEntries  FaultName = "replace_entries"
	FaultStoreAnswerLost FaultName = "store_answer_lost"
)

// At returns the offset of the line from the start of the trace.
func (l Line) At() time.Duration { return time.Duration(l.AtMS) * time.Millisecond }

// Deadline returns the time within which the request must be answered.
func (l Line) Deadline() time.Duration { return time.Duration(l.DeadlineMS) * time.Millisecond }

func (l Line) validate() error {
	if l.AtMS < 0 || l.DeadlineMS < 0 {
		return fmt.Errorf("at_ms and deadline_ms must not be negative")
	}
	complete := false
	switch l.Kind {
	case KindModel:
		complete = l.hasRequestFields() && l.Model != "" && l.PromptTokens > 0 && l.OutputTokens > 0
	case KindCall:
		complete = l.hasRequestFields() && l.Service != "" && l.Method != ""
	case KindFault:
		complete = l.Fault != nil && l.Fault.Name != ""
	default:
		return fmt.Errorf("kind is %q, expected model, call or fault", l.Kind)
	}
	if !complete {
		return fmt.Errorf("a %s line needs %s", l.Kind, requiredFields[l.Kind])
	}
	return nil
}

// requiredFields names the fields that each kind of line must have.
var requiredFields = map[Kind]string{
	KindModel: "account, deadline_ms, model, prompt_tokens and output_tokens",
	KindCall:  "account, deadline_ms, service and method",
	KindFault: "fault.name",
}

func (l Line) hasRequestFields() bool { return l.Account != "" && l.DeadlineMS > 0 }

// maxLine is the maximum length of a line in bytes.
const maxLine = 1 << 20

// Read reads a trace. An error names the file and the line.
func Read(file string, r io.Reader) ([]Line, error) {
	var out []Line
	in := bufio.NewScanner(r)
	in.Buffer(nil, maxLine)
	for n := 1; in.Scan(); n++ {
		if len(in.Bytes()) == 0 {
			continue
		}
		l, err := parse(in.Bytes())
		if err != nil {
			return nil, fmt.Errorf("%s:%d: %w", file, n, err)
		}
		out = append(out, l)
	}
	if err := in.Err(); err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	return out, nil
}

func parse(raw []byte) (Line, error) {
	var l Line
	dec := json.NewDecoder(bytes.NewReader(raw))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&l); err != nil {
		return l, err
	}
	return l, l.validate()
}

// Write writes a trace as JSON lines.
func Write(w io.Writer, lines []Line) error {
	enc := json.NewEncoder(w)
	for _, l := range lines {
		if err := enc.Encode(l); err != nil {
			return fmt.Errorf("write trace: %w", err)
		}
	}
	return nil
}
