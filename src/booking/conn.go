package booking

import (
	"bufio"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	bufferSize  = 16 << 10 // bytes; the head of an answer must fit in it
	maxOverhead = 64 << 10 // bytes of heads, chunk sizes and trailers without any of a body; a backend server may send such bytes without end
)

// conn is one connection to the backend server.
type conn struct {
	nc           net.Conn
	r            *bufio.Reader
	w            *bufio.Writer
	mayHaveSent  atomic.Bool // a byte of the call may have been sent
	remoteClosed bool        // the backend server has closed its side or the connection failed
	resetErr     error       // of the first read that failed because the backend server has reset the connection; fasthttp returns io.EOF for that
	opened       time.Time
	lastAnswer   time.Time // end of the last complete answer
	answers      int       // complete answers received on it
	overhead     int       // bytes read since the request or the last bytes of a body

	expired bool // a read has met its deadline
	arrived int  // bytes that had arrived by then and have not been read

	writeMu    sync.Mutex // held during a write
	writeReset bool       // a write failed because the backend server has reset the connection; guarded by writeMu
}

func newConn(nc net.Conn) *conn {
	c := &conn{nc: nc}
	c.r = bufio.NewReaderSize(c, bufferSize)
	c.w = bufio.NewWriterSize(c, bufferSize)
	return c
}

// Read reads from the socket. It sets remoteClosed at the end of the stream or on an error. It
// fails with errTooMuchOverhead if no bytes of a body are among many that have been read. The system
// reports a reset once; further reads return it again.
func (c *conn) Read(p []byte) (int, error) {
	if c.resetErr != nil {
		return 0, c.resetErr
	}
	if c.overhead > maxOverhead {
		return 0, errTooMuchOverhead
	}
	n, err := c.nc.Read(p)
	if n == 0 && errors.Is(err, errTimeout) {
		n, err = c.readArrived(p, err)
	}
	c.overhead += n
	if n == 0 && err != nil {
		c.remoteClosed = true
		if errors.Is(err, syscall.ECONNRESET) {
			c.resetErr = err
		}
	}
	return n, err
}

// readArrived reads bytes that had arrived when a read first met its deadline, which this process may
// have been late to notice. Behind them it returns err.
func (c *conn) readArrived(p []byte, err error) (int, error) {
	if !c.expired {
		c.expired, c.arrived = true, c.unread()
	}
	p = p[:min(len(p), c.arrived)]
	if len(p) == 0 {
		return 0, err
	}
	n := 0
	_ = c.control(func(fd int) error {
		var readErr error
		n, _, readErr = unix.Recvfrom(fd, p, unix.MSG_DONTWAIT)
		return readErr
	})
	if n <= 0 {
		return 0, err
	}
	c.arrived -= n
	return n, nil
}

// Write sets mayHaveSent and writes to the socket.
func (c *conn) Write(p []byte) (int, error) {
	c.mayHaveSent.Store(true)
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	n, err := c.nc.Write(p)
	c.writeReset = c.writeReset || errors.Is(err, syscall.ECONNRESET)
	return n, err
}

// endWrites ends a write that is under way, and reports whether one has failed because the backend
// server has reset the connection. A reset after the end of the stream fails writes with EPIPE.
func (c *conn) endWrites() bool {
	_ = c.nc.SetWriteDeadline(expiredDeadline)
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	return c.writeReset
}

// closeAndWait closes the connection after the backend server has closed its side, which ends its counting of the connection, or after the given time.
func (c *conn) closeAndWait(limit time.Duration) {
	defer func() { _ = c.nc.Close() }()
	tcp, ok := c.nc.(*net.TCPConn)
	if !ok || tcp.CloseWrite() != nil || tcp.SetReadDeadline(time.Now().Add(limit)) != nil {
		return
	}
	_, _ = io.Copy(io.Discard, tcp)
}

// hasUnread reports whether bytes have arrived that have not been read.
func (c *conn) hasUnread() bool {
	n := 0
	err := c.control(func(fd int) error {
		var b [1]byte
		n, _, _ = unix.Recvfrom(fd, b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		return nil
	})
	return err == nil && n > 0
}

// unread returns how many bytes have arrived that have not been read, 0 if unknown.
func (c *conn) unread() int {
	n := 0
	err := c.control(func(fd int) (err error) {
		n, err = unix.IoctlGetInt(fd, unix.SIOCINQ)
		return err
	})
	if err != nil {
		return 0
	}
	return n
}

// control calls f with the socket, whatever its deadlines. It does not wait for a read that is under
// way.
func (c *conn) control(f func(fd int) error) error {
	sc, ok := c.nc.(syscall.Conn)
	if !ok {
		return errors.ErrUnsupported
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return err
	}
	ctrlErr := raw.Control(func(fd uintptr) { err = f(int(fd)) })
	return errors.Join(err, ctrlErr)
}

// alive reports whether an idle connection is still open and has received no unsolicited bytes.
func (c *conn) alive() bool {
	if c.r.Buffered() > 0 {
		return false
	}
	sc, ok := c.nc.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	noData := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		noData = err == syscall.EAGAIN
		return true
	})
	return err == nil && noData
}
