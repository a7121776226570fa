package pkopenai

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"peridotknot.example/pkid"
	"peridotknot.example/pkverdict"
)

// Headers of answers.
const (
	HeaderVerdict   = "X-Peridotknot-Verdict"
	HeaderRequestID = "X-Request-Id"
	HeaderDeadline  = "X-Request-Timeout"
)

// Failure is an error as callers get it.
type Failure struct {
	Status     int
	Type       string
	Code       string
	Message    string
	Verdict    pkverdict.Verdict
	RequestID  pkid.RequestID
	RetryAfter time.Duration
}

// Error returns the message and the verdict.
func (f *Failure) Error() string { return f.Message + " (" + f.Verdict.String() + ")" }

// Types of error in the published API.
const (
	TypeInvalid  = "invalid_request_error"
	TypeAuth     = "authentication_error"
	TypeOverload = "rate_limit_error"
	TypeServer   = "server_error"
)

type failureBody struct {
	Error failureText `json:"error"`
}

type failureText struct {
	Message   string         `json:"message"`
	Type      string         `json:"type"`
	Param     *string        `json:"param"`
	Code      string         `json:"code"`
	Verdict   string         `json:"verdict"`
	RequestID pkid.RequestID `json:"request_id,omitempty"`
}

func (f Failure) body() failureBody {
	return failureBody{Error: failureText{
		Message:   f.Message,
		Type:      f.Type,
		Code:      f.Code,
		Verdict:   f.Verdict.String(),
		RequestID: f.RequestID,
	}}
}

// Write answers with the failure.
func (f Failure) Write(w http.ResponseWriter) error {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(HeaderVerdict, f.Verdict.String())
	// The published clients repeat by themselves what fails with some
	// statuses. Unless the request was not run, that would run it twice.
	h.Set("X-Should-Retry", strconv.FormatBool(f.Verdict == pkverdict.NotRun && f.RetryAfter > 0))
	if f.RetryAfter > 0 {
		seconds := (f.RetryAfter + time.Second - 1) / time.Second
		h.Set("Retry-After", strconv.Itoa(int(seconds)))
	}
	w.WriteHeader(f.Status)
	return json.NewEncoder(w).Encode(f.body())
}
