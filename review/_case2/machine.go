package main

import (
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// machine is what lies between callers and a replica: a proxy at the replica's address. Once it is off, what was open
// ends as the process ended it, and connections to it hang, as to a machine that has no power.
type machine struct {
	listener net.Listener
	to       string

	mu   sync.Mutex
	off  bool
	held []net.Conn
}

func newMachine(to string) (*machine, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	m := &machine{listener: l, to: to}
	go m.accept()
	return m, nil
}

func (m *machine) addr() string { return m.listener.Addr().String() }

func (m *machine) accept() {
	for {
		c, err := m.listener.Accept()
		if err != nil {
			return
		}
		m.mu.Lock()
		off := m.off
		if off {
			m.held = append(m.held, c)
		}
		m.mu.Unlock()
		if off {
			return // nothing is accepted any more
		}
		go m.serve(c)
	}
}

func (m *machine) serve(c net.Conn) {
	up, err := net.Dial("tcp", m.to)
	if err != nil {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
		return
	}
	go pipe(up, c)
	pipe(c, up)
}

// pipe copies until one side ends, and passes on how it has ended.
func pipe(to, from net.Conn) {
	_, err := io.Copy(to, from)
	if errors.Is(err, syscall.ECONNRESET) {
		_ = to.(*net.TCPConn).SetLinger(0)
	}
	_ = to.Close()
	_ = from.Close()
}

// turnOff makes further connections hang: nothing is accepted, and the queue of new ones is full.
func (m *machine) turnOff() error {
	m.mu.Lock()
	m.off = true
	m.mu.Unlock()
	raw, err := m.listener.(*net.TCPListener).SyscallConn()
	if err != nil {
		return err
	}
	var failed error
	if err := raw.Control(func(fd uintptr) { failed = unix.Listen(int(fd), 0) }); err != nil || failed != nil {
		return errors.Join(err, failed)
	}
	for range 20 {
		c, err := net.DialTimeout("tcp", m.addr(), 100*time.Millisecond)
		if err != nil {
			return nil
		}
		m.mu.Lock()
		m.held = append(m.held, c)
		m.mu.Unlock()
	}
	return errors.New("connections to a machine that is off do not hang")
}

func (m *machine) close() {
	_ = m.listener.Close()
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, c := range m.held {
		_ = c.Close()
	}
}
