package pkedge

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"

	"peridotknot.example/pkexchange"
	"peridotknot.example/pkforward"
	"peridotknot.example/pkreplica"
	"peridotknot.example/pkserver"
	"peridotknot.example/pkverdict"
)

// copyBufferSize is the size of the buffer for answers that are not read whole before they are forwarded, in bytes.
const copyBufferSize = 16 << 10

// forwarded ends a send whose answer was forwarded while it came; err is why that broke off, nil if it is whole.
type forwarded struct{ err error }

// Error returns how the answer ended.
func (f *forwarded) Error() string { return fmt.Sprintf("answer forwarded: %v", f.err) }

// readAnswer reads an answer of at most maxBufferedAnswer bytes, whose length is negative if it is not known. If the error
// is pkserver.ErrBusy, it returns what it has read.
func (c *call) readAnswer(ctx context.Context, in io.Reader, length int64) ([]byte, error) {
	body, err := c.holding.ReadAnswer(ctx, in, length, maxBufferedAnswer)
	if err == nil || errors.Is(err, pkserver.ErrBusy) {
		return body, err
	}
	return nil, pkverdict.Lost(err)
}

// forwardUnbuffered forwards an answer that the memory of callers has no room for, without another attempt if it breaks
// off. The error is a forwarded, unless the response is no answer for the caller.
func (c *call) forwardUnbuffered(ctx context.Context, resp *pkforward.Response, t *pkreplica.Target, read []byte) error {
	if err := resp.CheckAnswer(); err != nil && !errors.Is(err, pkexchange.ErrTargetFailed) {
		return err
	}
	err := c.copyAnswer(resp.Status, resp.Header, resp.Length, read, resp.Body)
	if err == nil {
		err = c.checkBodyEnd(ctx, resp, t)
	}
	return &forwarded{err: err}
}

// copyAnswer forwards an answer of which a part was read.
func (c *call) copyAnswer(status int, header http.Header, length int64, read []byte, rest io.Reader) error {
	h := c.w.Header()
	pkforward.CopyHeaders(h, header)
	if length >= 0 && c.r.Method != http.MethodHead {
		h["Content-Length"] = []string{strconv.FormatInt(length, 10)}
	}
	c.writeHead(status)
	if _, err := c.w.Write(read); err != nil {
		return errCallerLeft
	}
	if _, err := io.CopyBuffer(struct{ io.Writer }{c.w}, rest, make([]byte, copyBufferSize)); err != nil {
		return pkverdict.Lost(err)
	}
	return nil
}
