package pkentry

import (
	"errors"
	"fmt"
	"net/http"

	"peridotknot.example/pkbudget"
	"peridotknot.example/pkopenai"
	"peridotknot.example/pkserver"
	"peridotknot.example/pkverdict"
)

const (
	// decodeCopies is how many times its size a model request takes while it is decoded, and promptCopies how many times
	// that of its prompt it takes while it runs.
	decodeCopies = 6
	promptCopies = 2
)

// largestRequest returns what a request of the largest legal size holds.
func (e *Entry) largestRequest() pkbudget.Bytes {
	view := e.view.Load()
	if view == nil {
		return 0
	}
	return pkserver.LargestRequest(maxHeaderBytes, (1+decodeCopies)*view.Manifest.Limits.MaxBody)
}

// maxDiscard is the size of an unread body, in bytes, that is read in vain so that its connection can be used again.
const maxDiscard = 4 << 10

// boundBody bounds the time that the client may take to send a body, also one that is only read to be discarded.
func (c *call) boundBody() error {
	if c.r.ContentLength == 0 {
		return nil
	}
	return http.NewResponseController(c.w).SetReadDeadline(c.began.Add(bodyTimeout))
}

// leavesBody reports whether the call fails while its body may still be arriving.
func (c *call) leavesBody() bool {
	return !c.bodyRead && (c.r.ContentLength < 0 || c.r.ContentLength > maxDiscard)
}

// readBody reads the body of a call. An error is its final answer.
func (c *call) readBody() ([]byte, error) {
	limit := c.view.Manifest.Limits.MaxBody
	body, err := c.holding.ReadAll(c.r.Context(), c.r.Body, c.r.ContentLength, limit)
	switch {
	case errors.Is(err, pkserver.ErrTooLarge):
		return nil, c.invalid(http.StatusRequestEntityTooLarge, "body_too_large", fmt.Sprintf("the body may have %d bytes", limit))
	case err != nil:
		return nil, c.busyOr(err, c.invalid(http.StatusBadRequest, "invalid_body", "the body could not be read"))
	}
	c.bodyRead = true
	return body, nil
}

// busyOr returns the refusal of a call for which the memory of callers has no room, or else another error.
func (c *call) busyOr(err, other error) error {
	if !errors.Is(err, pkserver.ErrBusy) {
		return other
	}
	return &pkopenai.Failure{
		Status: http.StatusServiceUnavailable, Type: pkopenai.TypeServer, Code: "callers_hold_too_much",
		Message: "callers hold all memory of this entry", Verdict: pkverdict.NotRun, RetryAfter: defaultRetryAfter,
	}
}
