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

// Kind says what a line of a trace is.
type Kind string

// Kinds of lines.
const (
	KindModel Kind = "model"
	KindCall  Kind = "call"
	KindFault Kind = "fault"
)

// Line is one request or fault of a trace.
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

// Fault is something that goes wrong, or a step of an operator.
type Fault struct {
	Name FaultName `json:"name"`
	// Target is what it happens to, as the stand-ins or the entries name it.
	Target string `json:"target,omitempty"`
	// ForMS is how long it lasts; zero is until the end.
	ForMS int64 `json:"for_ms,omitempty"`
	// ExtraMS is the time that a slow link or store adds.
	ExtraMS int64 `json:"extra_ms,omitempty"`
}

// FaultName names a kind of fault.
type FaultName string

// Kinds of faults.
const (
	FaultKill     FaultName = "kill"
	FaultSilence  FaultName = "silence"
	FaultSlow     FaultName = "slow"
	FaultLeave    FaultName = "leave"
	FaultStore    FaultName = "store_down"
	FaultVMList   FaultName = "vm_list_empty"
	FaultPublish  FaultName = "publish"
	FaultEntry    FaultName = "entry_stop"
	FaultReplace  FaultName = "replace_entries"
	FaultLostSwap FaultName = "store_answer_lost"
)

// At returns the time of the line from the start of the trace.
func (l Line) At() time.Duration { return time.Duration(l.AtMS) * time.Millisecond }

// Deadline returns the time that the request may take.
func (l Line) Deadline() time.Duration { return time.Duration(l.DeadlineMS) * time.Millisecond }

func (l Line) check() error {
	if l.AtMS < 0 || l.DeadlineMS < 0 {
		return fmt.Errorf("a time is below zero")
	}
	whole := false
	switch l.Kind {
	case KindModel:
		whole = l.isRequest() && l.Model != "" && l.PromptTokens > 0 && l.OutputTokens > 0
	case KindCall:
		whole = l.isRequest() && l.Service != "" && l.Method != ""
	case KindFault:
		whole = l.Fault != nil && l.Fault.Name != ""
	default:
		return fmt.Errorf("kind is %q, expected model, call or fault", l.Kind)
	}
	if !whole {
		return fmt.Errorf("a %s line needs %s", l.Kind, needs[l.Kind])
	}
	return nil
}

// needs says what each kind of line must have.
var needs = map[Kind]string{
	KindModel: "account, deadline_ms, model, prompt_tokens and output_tokens",
	KindCall:  "account, deadline_ms, service and method",
	KindFault: "fault.name",
}

func (l Line) isRequest() bool { return l.Account != "" && l.DeadlineMS > 0 }

const maxLine = 1 << 20

// Read reads a trace; an error names file and line.
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
	return l, l.check()
}

// Write writes a trace.
func Write(w io.Writer, lines []Line) error {
	enc := json.NewEncoder(w)
	for _, l := range lines {
		if err := enc.Encode(l); err != nil {
			return fmt.Errorf("write trace: %w", err)
		}
	}
	return nil
}
