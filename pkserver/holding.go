package pkserver

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"

	"peridotknot.example/pkbudget"
)

// Budget bounds what the clients of a server hold.
type Budget = pkbudget.Budget[*Holding]

// ErrBusy refuses a request for which the budget has no room: it was not run.
var ErrBusy = errors.New("clients hold all memory that is left to them")

// ErrTooLarge refuses a body over its limit.
var ErrTooLarge = errors.New("body exceeds its limit")

const (
	// freeHeader is the size of a header that ConnectionBytes has room for.
	freeHeader = 4 << 10
	// headerFactor is how many times its size a header takes while it is read and once it is parsed.
	headerFactor = 2
	// smallBuffer is how many bytes a connection may have received and not read, and largeBuffer the same with a body over
	// bufferThreshold bytes, which a small one would slow down over a long link.
	smallBuffer     = int(pkbudget.ReceiveBytes)
	largeBuffer     = 128 << 10
	bufferThreshold = 64 << 10
	// grantTimeout bounds the wait for bytes that others are to release.
	grantTimeout = 2 * time.Second
	// firstBuffer is the size of the first buffer for a body, in bytes.
	firstBuffer = 4 << 10
)

// phase is what a connection is reading.
type phase int32

const (
	phaseWaiting phase = iota
	phaseHeader
	phaseBody
	// phaseWhole is a request that was read whole: what arrives now was not asked for.
	phaseWhole
	// phaseOver is phaseWhole once more has arrived.
	phaseOver
)

// Holding is what a client holds with a connection or a request. The methods of a nil Holding do nothing.
type Holding struct {
	hold *pkbudget.Hold[*Holding]
	// abort ends a read in progress.
	abort func()
	// conn is nil for a request that has no connection of its own.
	conn  *net.TCPConn
	phase atomic.Int32
	// header is the size of the header so far, in bytes.
	header atomic.Int64
	// largeBuffer is set while the connection has a large receive buffer.
	largeBuffer bool
}

// holdingKey is the context key of the Holding of a request's connection.
type holdingKey struct{}

// HoldingOf returns the Holding of a request, nil if its server has no budget.
func HoldingOf(ctx context.Context) *Holding {
	h, _ := ctx.Value(holdingKey{}).(*Holding)
	return h
}

// NewRequest returns the Holding of a request that arrives at now over a connection without one; abort ends a read
// of it. Close must be called.
func NewRequest(b *Budget, now time.Time, abort func()) *Holding {
	h := &Holding{abort: abort}
	h.phase.Store(int32(phaseBody))
	h.hold = b.Request(now, h)
	return h
}

// closeConnection closes the connection, whose client may have closed it.
func (h *Holding) closeConnection() { _ = h.conn.Close() }

// Close releases all that is held.
func (h *Holding) Close() {
	if h != nil {
		h.hold.Close()
	}
}

// SetAccount sets the client account whose share the request counts towards.
func (h *Holding) SetAccount(account string) {
	if h != nil {
		h.hold.SetAccount(account)
	}
}

// Grow takes n more bytes, and waits until others have released them. The error is ErrBusy if there are none.
func (h *Holding) Grow(ctx context.Context, n int) error {
	if h == nil || n <= 0 {
		return nil
	}
	return h.grow(ctx, pkbudget.Bytes(n))
}

func (h *Holding) grow(ctx context.Context, n pkbudget.Bytes) error {
	grant := h.hold.Grow(time.Now(), n)
	for _, other := range grant.Evicted {
		other.abort()
	}
	if grant.Granted {
		return nil
	}
	if grant.Wait == nil {
		return ErrBusy
	}
	limit := time.NewTimer(grantTimeout)
	defer limit.Stop()
	select {
	case <-grant.Wait.Ready():
	case <-limit.C:
	case <-ctx.Done():
	}
	if !grant.Wait.End() {
		return ErrBusy
	}
	return nil
}

// Shrink releases n bytes.
func (h *Holding) Shrink(n int) {
	if h != nil && n > 0 {
		h.hold.Shrink(pkbudget.Bytes(n))
	}
}

// ShrinkTo releases all but n bytes of what a request was granted beside what each holds.
func (h *Holding) ShrinkTo(n int) {
	if h == nil {
		return
	}
	if spare := h.hold.Bytes() - pkbudget.RequestBytes - pkbudget.Bytes(n); spare > 0 {
		h.hold.Shrink(spare)
	}
}

// Admit takes what a request holds beside its body and its answer, with a connection to its target. The error is ErrBusy
// if there is no room.
func (h *Holding) Admit(ctx context.Context) error {
	if h == nil {
		return nil
	}
	evicted, admitted := h.hold.Admit(time.Now())
	for _, other := range evicted {
		other.closeConnection()
	}
	if !admitted {
		return ErrBusy
	}
	return h.grow(ctx, pkbudget.RequestBytes+headerFactor*pkbudget.Bytes(min(h.header.Load(), freeHeader)))
}

// LargestRequest returns what a request holds with a header and the copies of a body of a size in bytes.
func LargestRequest(header, copies int64) pkbudget.Bytes {
	return pkbudget.RequestBytes + pkbudget.Bytes(headerFactor*header+largeBuffer+copies)
}

// keep records that the request was read whole. The error is ErrBusy if it was evicted before.
func (h *Holding) keep() error {
	if h == nil {
		return nil
	}
	if !h.hold.Keep() {
		return ErrBusy
	}
	h.phase.Store(int32(phaseWhole))
	return nil
}

// ReadAll reads the body of the request, of at most limit bytes, to its end; length is negative if it is not known. The
// error is ErrBusy if there is no room for it, ErrTooLarge, or that of the reader.
func (h *Holding) ReadAll(ctx context.Context, in io.Reader, length, limit int64) ([]byte, error) {
	body, err := h.read(ctx, in, length, limit, h.enlargeBody)
	if err != nil {
		return nil, err
	}
	return body, h.keep()
}

// ReadAnswer reads the answer to the request like ReadAll. If the error is ErrBusy, it returns what it has read, and the
// rest is still to be read.
func (h *Holding) ReadAnswer(ctx context.Context, in io.Reader, length, limit int64) ([]byte, error) {
	return h.read(ctx, in, length, limit, h.enlarge)
}

// read reads to the end of a reader into a buffer that enlarge enlarges.
func (h *Holding) read(ctx context.Context, in io.Reader, length, limit int64, enlarge enlarger) ([]byte, error) {
	if length > limit {
		return nil, ErrTooLarge
	}
	most := limit + 1 // one more shows that there is more
	if length >= 0 {
		most = length
	}
	var body []byte
	for int64(len(body)) != length {
		if len(body) == cap(body) {
			larger, err := enlarge(ctx, body, int(min(max(2*int64(cap(body)), firstBuffer), most)))
			if err != nil {
				return body, err
			}
			body = larger
		}
		n, err := in.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case int64(len(body)) > limit:
			return nil, ErrTooLarge
		case !h.move(time.Now()):
			return body, ErrBusy
		case errors.Is(err, io.EOF):
			return body, endOfBody(int64(len(body)), length)
		case err != nil:
			return nil, err
		}
	}
	return body, nil
}

// endOfBody returns an error if a body that has ended lacks a part.
func endOfBody(read, length int64) error {
	if length >= 0 && read < length {
		return io.ErrUnexpectedEOF
	}
	return nil
}

// move records that something has arrived at now, and reports whether the request may go on.
func (h *Holding) move(now time.Time) bool { return h == nil || h.hold.Move(now) }

// enlarger returns a copy of a buffer with another capacity.
type enlarger func(ctx context.Context, buffer []byte, size int) ([]byte, error)

// enlargeBody is enlarge for the body of the request, a large one of which gets a large receive buffer.
func (h *Holding) enlargeBody(ctx context.Context, body []byte, size int) ([]byte, error) {
	if h != nil && h.conn != nil && !h.largeBuffer && size > bufferThreshold {
		if err := h.Grow(ctx, largeBuffer); err != nil {
			return nil, err
		}
		h.largeBuffer = true
		h.setReceiveBuffer(largeBuffer)
	}
	return h.enlarge(ctx, body, size)
}

// enlarge is the enlarger that charges the larger buffer before the smaller one is released.
func (h *Holding) enlarge(ctx context.Context, buffer []byte, size int) ([]byte, error) {
	if err := h.Grow(ctx, size); err != nil {
		return nil, err
	}
	out := make([]byte, len(buffer), size)
	copy(out, buffer)
	h.Shrink(cap(buffer))
	return out, nil
}

// setReceiveBuffer bounds what the connection may have received and not read, and its window, which that of the listener
// has bounded.
func (h *Holding) setReceiveBuffer(bytes int) {
	raw, err := h.conn.SyscallConn()
	if err != nil {
		return
	}
	_ = onSocket(raw, func(fd int) error { // the connection may be closed
		return errors.Join(setReceiveBuffer(fd, bytes), unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_WINDOW_CLAMP, bytes))
	})
}

const (
	// lingerTime bounds how long a refused client that goes on sending is read, and lingerBytes how much of it, so that
	// it reads the answer before its connection is reset.
	lingerTime  = 2 * time.Second
	lingerBytes = 256 << 20
)

// Refuse answers a request that was not read whole with what write writes, which must send its length, and closes the
// connection once the client has had the time to read the answer: one that is still sending would lose it with a reset.
func (h *Holding) Refuse(w http.ResponseWriter, write func()) error {
	control := http.NewResponseController(w)
	// Else net/http reads the rest of the body before it sends the answer.
	if err := control.EnableFullDuplex(); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return err
	}
	w.Header().Set("Connection", "close")
	write()
	if h == nil || h.conn == nil {
		return nil
	}
	h.hold.Refuse(time.Now())
	if err := control.Flush(); err != nil {
		return err
	}
	return h.linger()
}

// linger ends the answer and reads what the client still sends.
func (h *Holding) linger() error {
	if err := errors.Join(h.conn.SetReadDeadline(time.Now().Add(lingerTime)), h.conn.CloseWrite()); err != nil {
		return err
	}
	_, _ = io.Copy(io.Discard, io.LimitReader(readerOnly{h.conn}, lingerBytes)) // ends with the client or the deadline
	return h.conn.SetReadDeadline(longAgo)
}

// readerOnly hides the other methods of a connection, with which io.Copy would not read it.
type readerOnly struct{ io.Reader }
