package pkexchange

import (
	"errors"
	"fmt"
	"net/http"

	"golang.org/x/net/http/httpguts"

	"peridotknot.example/pkid"
	"peridotknot.example/pkverdict"
)

// Causes of failures that the head of a response shows.
var (
	// ErrForeign means that a response names another request.
	ErrForeign = errors.New("response has the id of another request")
	// ErrStatus means that a response has a status that HTTP does not allow.
	ErrStatus = errors.New("response has an invalid status")
	// ErrField means that a response has a header field whose name HTTP does not allow.
	ErrField = errors.New("response has a header field with an invalid name")
	// ErrTargetFailed means that the target itself answered with an error.
	ErrTargetFailed = errors.New("target answered with an error status")
	// ErrAltered means that something between the target and this entry has changed an answer.
	ErrAltered = errors.New("answer is not sealed by the target or has a content encoding")
)

// maxStatus is the largest status that HTTP allows.
const maxStatus = 599

// CheckHead returns ErrStatus or ErrField as the cause of a *pkverdict.Error if HTTP does not allow the status or the header
// of a final response to a request with the given header. The connection cannot be used again then.
//
// A field name with a blank hides what the field says, also of the length of the body: net/http keeps such a name as it is.
func CheckHead(request http.Header, status int, response http.Header) error {
	switched := status == http.StatusSwitchingProtocols && len(request["Upgrade"]) > 0
	if !switched && (status < http.StatusOK || status > maxStatus) {
		return pkverdict.Lost(fmt.Errorf("%w: %03d", ErrStatus, status))
	}
	for name := range response {
		if !httpguts.ValidHeaderFieldName(name) {
			return pkverdict.Lost(ErrField)
		}
	}
	return nil
}

// Head is the head of a response.
type Head struct {
	Status int
	// Request is the ID of the request that the response names.
	Request pkid.RequestID
	// NotRun is set if the target says that it did not run the request and never will.
	NotRun bool
	// Sealed is set if the response has the target's signature, Encoded if its body has a content encoding.
	Sealed, Encoded bool
}

// CheckRequest returns ErrForeign or ErrStatus as the cause of a *pkverdict.Error if the response is not one to the request that
// was sent. The connection cannot be used again then.
func (h Head) CheckRequest(sent pkid.RequestID) error {
	switch {
	case h.Request != sent:
		// A surplus response of a target is read as the response to the next request on the connection.
		return pkverdict.Lost(ErrForeign)
	case h.Status < http.StatusContinue:
		return pkverdict.Lost(ErrStatus)
	default:
		return nil
	}
}

// CheckRun returns a *pkverdict.Error with the reason pkverdict.ReasonRefused if the target did not run the request.
func (h Head) CheckRun() error {
	if h.NotRun {
		return &pkverdict.Error{Verdict: pkverdict.NotRun, Reason: pkverdict.ReasonRefused, Err: fmt.Errorf("target did not run the request: status %d", h.Status)}
	}
	return nil
}

// CheckAnswer returns ErrTargetFailed or ErrAltered as the cause of a *pkverdict.Error if the response is not an answer for the
// caller.
func (h Head) CheckAnswer() error {
	switch {
	case h.Status >= http.StatusInternalServerError:
		return pkverdict.Lost(ErrTargetFailed)
	case h.Status/100 == 2 && !h.Sealed, h.Encoded:
		return pkverdict.Lost(ErrAltered)
	default:
		return nil
	}
}
