package pkforward

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"

	"peridotknot.example/pkconn"
)

const (
	// uploadBytes is the size of a long upload, largeUploadBytes that of one that the buffers of a connection cannot hold.
	uploadBytes      = 3 << 20
	largeUploadBytes = 32 << 20
	// uploadReadBytes is the part of an upload that a target reads before it answers.
	uploadReadBytes = 1 << 20
	// closeUploadBytes is the size of an upload of which the buffers of a connection can hold the rest.
	closeUploadBytes = 2 << 20
)

// earlyAnswer is how a target answers an upload with neither a length nor chunks, and ends the connection.
type earlyAnswer struct {
	// read is how much of the upload is read before the answer.
	read int64
	// end ends the connection after the answer.
	end func(conn *net.TCPConn, upload io.Reader)
}

// uploadTarget answers each upload in the given way.
func uploadTarget(t *testing.T, a earlyAnswer) (addr string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	var handlers sync.WaitGroup
	t.Cleanup(func() {
		_ = l.Close()
		handlers.Wait()
	})
	handlers.Go(func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			handlers.Go(func() {
				defer func() { _ = conn.Close() }()
				req, err := http.ReadRequest(bufio.NewReader(conn))
				if err != nil {
					return
				}
				_, _ = io.CopyN(io.Discard, req.Body, a.read)
				_, _ = io.WriteString(conn, answerHead("200 OK", "one")+answerText("one"))
				a.end(conn.(*net.TCPConn), req.Body)
			})
		}
	})
	return l.Addr().String()
}

// upload sends an upload and returns the body of its answer.
func upload(t *testing.T, s *Sender, addr string, body []byte) (string, error) {
	t.Helper()
	r := &Request{Method: http.MethodPost, Host: "host.example", URI: "/", Header: http.Header{}, Body: body}
	r.Meta.ID = "one"
	resp, err := s.Do(t.Context(), addr, r, SendOptions{})
	if err != nil {
		return "", err
	}
	defer resp.Close()
	assert.Assert(t, !resp.Delimited)
	answer, err := resp.ReadAll(uploadBytes)
	return string(answer), err
}

// closeEmpty closes a connection once all bytes that have arrived are read, so that it is not reset at once. If the upload
// has nearly ended by then, it resets the connection.
func closeEmpty(conn *net.TCPConn, upload io.Reader) {
	const nearEnd = 256 << 10
	left := int64(closeUploadBytes - uploadReadBytes)
	raw, err := conn.SyscallConn()
	for queued := 1; err == nil && queued > 0; {
		n, _ := io.CopyN(io.Discard, upload, int64(queued)) // the client may be gone
		left -= n
		err = raw.Control(func(fd uintptr) { queued, _ = unix.IoctlGetInt(int(fd), unix.SIOCINQ) })
		if left < nearEnd {
			reset(conn)
			return
		}
	}
	_ = conn.Close()
}

// Guards against a part of an answer that counts as whole: the target answers without a length and resets the connection
// while the upload is still being written, and the kernel reports the reset to the writer alone.
func TestAnswerResetDuringAnUploadIsNotComplete(t *testing.T) {
	const (
		atOnce   = 4
		resetGap = 5 * time.Millisecond
	)
	resets := func(conn *net.TCPConn, _ io.Reader) { reset(conn) }
	for name, row := range map[string]struct {
		answer  earlyAnswer
		size    int
		uploads int
	}{
		"nothing read": {earlyAnswer{end: resets}, uploadBytes, 75},
		"1 MiB read":   {earlyAnswer{read: uploadReadBytes, end: resets}, uploadBytes, 75},
		"later": {earlyAnswer{read: uploadReadBytes, end: func(conn *net.TCPConn, _ io.Reader) {
			time.Sleep(resetGap)
			reset(conn)
		}}, uploadBytes, 75},
		"closed with unread bytes":    {earlyAnswer{read: uploadReadBytes, end: func(conn *net.TCPConn, _ io.Reader) { _ = conn.Close() }}, uploadBytes, 75},
		"closed without unread bytes": {earlyAnswer{read: uploadReadBytes, end: closeEmpty}, closeUploadBytes, 75},
		"ended, then reset": {earlyAnswer{read: uploadReadBytes, end: func(conn *net.TCPConn, _ io.Reader) {
			_ = conn.CloseWrite()
			time.Sleep(resetGap)
			reset(conn)
		}}, largeUploadBytes, 5},
	} {
		t.Run(name, func(t *testing.T) {
			addr := uploadTarget(t, row.answer)
			s := NewSender(plainDialect{}, pkconn.DefaultOptions())
			defer func() { assert.NilError(t, s.Close()) }()
			body := make([]byte, row.size)
			var whole atomic.Int64
			var uploads sync.WaitGroup
			for range atOnce {
				uploads.Go(func() {
					for range row.uploads {
						if _, err := upload(t, s, addr, body); err == nil {
							whole.Add(1)
						}
					}
				})
			}
			uploads.Wait()
			assert.Equal(t, whole.Load(), int64(0), "answers that count as whole, of %d", row.uploads*atOnce)
		})
	}
}

// Guards against whole answers that count as cut: the target ends the connection by closing it, after the upload or while
// it goes on reading.
func TestAnswerEndedInOrderIsComplete(t *testing.T) {
	for name, answer := range map[string]earlyAnswer{
		"after the upload": {read: uploadBytes, end: func(*net.TCPConn, io.Reader) {}},
		"before the upload": {end: func(conn *net.TCPConn, upload io.Reader) {
			_ = conn.CloseWrite()
			_, _ = io.Copy(io.Discard, upload)
		}},
	} {
		t.Run(name, func(t *testing.T) {
			addr := uploadTarget(t, answer)
			s := NewSender(plainDialect{}, pkconn.DefaultOptions())
			defer func() { assert.NilError(t, s.Close()) }()
			body := make([]byte, uploadBytes)
			for range 20 {
				answer, err := upload(t, s, addr, body)
				assert.NilError(t, err)
				assert.Equal(t, answer, answerText("one"))
			}
		})
	}
}

// Guards against an exchange that waits for a target which has ended its answer and does not read the upload.
func TestAnswerToAnUploadThatIsNotReadEnds(t *testing.T) {
	held := make(chan struct{})
	addr := uploadTarget(t, earlyAnswer{end: func(conn *net.TCPConn, _ io.Reader) {
		_ = conn.CloseWrite()
		<-held
	}})
	s := NewSender(plainDialect{}, pkconn.DefaultOptions())
	defer func() { assert.NilError(t, s.Close()) }()
	_, err := upload(t, s, addr, make([]byte, largeUploadBytes))
	close(held)
	assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
}
