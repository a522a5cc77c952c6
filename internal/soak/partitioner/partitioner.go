// Package partitioner cuts one instance off from all endpoints, for tests.
package partitioner

import (
	"context"
	"net"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"

	"fescuebank/internal/endpoint/dialer"
)

// Mode is what becomes of connections to endpoints.
type Mode string

// The modes of a partition.
const (
	// None lets all connections work.
	None Mode = ""
	// Hang holds the bytes of open connections back until the partition ends. New ones don't get
	// established.
	Hang Mode = "hang"
	// Reset resets open connections. New ones don't get established.
	Reset Mode = "reset"
	// Refuse refuses new connections. Open ones go on.
	Refuse Mode = "refuse"
)

// FileSuffix is the end of the name of the file that holds the mode of an instance. The rest is that of
// its settings file.
const FileSuffix = ".partition"

// pollInterval is the interval at which a held operation, and a watched file, are looked at.
const pollInterval = 10 * time.Millisecond

// Partitioner connects to endpoints as the mode allows.
type Partitioner struct {
	mu    sync.Mutex
	mode  Mode
	conns map[*conn]bool
}

// New returns a partitioner in the mode None.
func New() *Partitioner {
	return &Partitioner{conns: make(map[*conn]bool)}
}

// Watch returns a partitioner whose mode is what the file at path holds, None without one, until the
// process ends.
func Watch(path string) *Partitioner {
	p := New()
	go func() {
		for {
			b, _ := os.ReadFile(path) // Without a file there is no partition.
			p.SetMode(Mode(strings.TrimSpace(string(b))))
			time.Sleep(pollInterval)
		}
	}()
	return p
}

// SetMode changes the mode.
func (p *Partitioner) SetMode(m Mode) {
	p.mu.Lock()
	if p.mode == m {
		p.mu.Unlock()
		return
	}
	p.mode = m
	conns := make([]*conn, 0, len(p.conns))
	for c := range p.conns {
		conns = append(conns, c)
	}
	p.mu.Unlock()
	for _, c := range conns {
		if m == Reset {
			c.reset()
		}
		if m != Hang {
			c.flush()
		}
	}
}

func (p *Partitioner) current() Mode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

// Connect opens a connection to an endpoint if the mode allows it.
func (p *Partitioner) Connect(ctx context.Context, addr string) (net.Conn, error) {
	switch p.current() {
	case Hang, Reset:
		<-ctx.Done()
		return nil, ctx.Err()
	case Refuse:
		return nil, syscall.ECONNREFUSED
	}
	opened, err := dialer.Connect(ctx, addr)
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: opened, partitioner: p, closed: make(chan struct{})}
	p.mu.Lock()
	p.conns[c] = true
	p.mu.Unlock()
	return c, nil
}

// conn is a connection to an endpoint.
type conn struct {
	net.Conn
	partitioner *Partitioner
	closed      chan struct{}
	closeOnce   sync.Once

	mu sync.Mutex
	// held are the bytes that were written during the partition.
	held         []byte
	readDeadline time.Time
}

// SyscallConn returns the connection's file descriptor.
func (c *conn) SyscallConn() (syscall.RawConn, error) {
	return c.Conn.(syscall.Conn).SyscallConn()
}

// Read reads what has arrived, after the partition.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	for c.partitioner.current() == Hang {
		select {
		case <-c.closed:
			return 0, net.ErrClosed
		case <-time.After(pollInterval):
		}
		if c.isOverdue() {
			return 0, os.ErrDeadlineExceeded
		}
	}
	return n, err
}

func (c *conn) isOverdue() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.readDeadline.IsZero() && time.Now().After(c.readDeadline)
}

// SetReadDeadline sets the deadline of reads.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	c.readDeadline = t
	c.mu.Unlock()
	return c.Conn.SetReadDeadline(t)
}

// SetDeadline sets the deadlines of reads and writes.
func (c *conn) SetDeadline(t time.Time) error {
	c.mu.Lock()
	c.readDeadline = t
	c.mu.Unlock()
	return c.Conn.SetDeadline(t)
}

// Write writes, or holds the bytes until the partition ends.
func (c *conn) Write(b []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.partitioner.current() == Hang || len(c.held) > 0 {
		c.held = append(c.held, b...)
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// flush writes the bytes held.
func (c *conn) flush() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.held) > 0 {
		_, _ = c.Conn.Write(c.held) // A failure shows at the next operation.
		c.held = nil
	}
}

// reset closes the connection so that the endpoint and this side see a reset.
func (c *conn) reset() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// Close closes the connection.
func (c *conn) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	c.partitioner.mu.Lock()
	delete(c.partitioner.conns, c)
	c.partitioner.mu.Unlock()
	return c.Conn.Close()
}
