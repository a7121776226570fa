package pkedge

import (
	"context"
	"errors"
	"syscall"

	"peridotknot.example/pkexchange"
	"peridotknot.example/pkforward"
	"peridotknot.example/pkreplica"
)

// checkBodyEnd returns an error if the body of a response that was read to its end may lack a part: it has
// neither a length nor chunks, and its target is gone. The end of such a body is that of the connection, which
// the end of the target's process ends as well, also while it drains. The target must answer: one whose process is
// ending may still accept connections.
func (c *call) checkBodyEnd(ctx context.Context, resp *pkforward.Response, t *pkreplica.Target) error {
	body := pkexchange.Body{Delimited: resp.Delimited}
	if body.Delimited {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	err := c.probeLink(ctx, t)
	body.TargetGone = pkexchange.IsConnectionError(err)
	if errors.Is(err, syscall.ECONNREFUSED) {
		c.suspect(t, err)
	}
	return body.Check()
}
