package pkopenai

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"peridotknot.example/pkid"
	"peridotknot.example/pkverdict"
)

// Headers of requests and responses.
const (
	HeaderVerdict   = "X-Peridotknot-Verdict"
	HeaderRequestID = "X-Request-Id"
	HeaderDeadline  = "X-Request-Timeout"
)

// Failure is an error response.
type Failure struct {
	Status     int
	Type       string
	Code       string
	Message    string
	Verdict    pkverdict.Verdict
	RequestID  pkid.RequestID
	RetryAfter time.Duration
}

// Error returns the message followed by the verdict.
func (f *Failure) Error() string { return f.Message + " (" + f.Verdict.String() + ")" }

// Error types of the OpenAI API.
const (
	TypeInvalid  = "invalid_request_error"
	TypeAuth     = "authentication_error"
	TypeOverload = "rate_limit_error"
	TypeServer   = "server_error"
)

type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message   string         `json:"message"`
	Type      string         `json:"type"`
	Param     *string        `json:"param"`
	Code      string         `json:"code"`
	Verdict   string         `json:"verdict"`
	RequestID pkid.RequestID `json:"request_id,omitempty"`
}

func (f Failure) body() errorBody {
	return errorBody{Error: errorDetail{
		Message:   f.Message,
		Type:      f.Type,
		Code:      f.Code,
		Verdict:   f.Verdict.String(),
		RequestID: f.RequestID,
	}}
}

// Write writes the failure as the response.
func (f Failure) Write(w http.ResponseWriter) error {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(HeaderVerdict, f.Verdict.String())
	// The OpenAI clients retry some statuses on their own, which could execute a request twice.
	// Allow it only if the request was not executed.
	h.Set("X-Should-Retry", strconv.FormatBool(f.Verdict == pkverdict.NotRun && f.RetryAfter > 0))
	if f.RetryAfter > 0 {
		seconds := (f.RetryAfter + time.Second - 1) / time.Second
		h.Set("Retry-After", strconv.Itoa(int(seconds)))
	}
	body, err := json.Marshal(f.body())
	if err != nil {
		return err
	}
	body = append(body, '\n')
	// A refused client may not wait for the end of chunks.
	h.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(f.Status)
	_, err = w.Write(body)
	return err
}
