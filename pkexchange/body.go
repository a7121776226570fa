package pkexchange

import (
	"errors"
	"io"
	"syscall"

	"peridotknot.example/pkverdict"
)

// Body is how the body of a response has ended.
type Body struct {
	// Delimited is set if the response itself says where its body ends, by a length or in chunks. Otherwise its body ends with
	// the connection, for whatever reason that ends.
	Delimited bool
	// TargetGone is set if the target was found to have ended after the connection did.
	TargetGone bool
}

// Check returns io.ErrUnexpectedEOF as the cause of a *pkverdict.Error if a body that was read to its end may lack a part. The end
// of a target's process ends its connections as well, also while it drains.
func (b Body) Check() error {
	if b.Delimited || !b.TargetGone {
		return nil
	}
	return pkverdict.Lost(io.ErrUnexpectedEOF)
}

// IsConnectionError reports whether an exchange failed for its connection, which was refused, was reset or has ended.
func IsConnectionError(err error) bool {
	return errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE) || errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF)
}
