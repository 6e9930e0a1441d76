package lane

import (
	"net"
	"syscall"
)

// open tells whether an idle connection has neither been closed by the store nor holds bytes that belong to no call.
func open(conn net.Conn) bool {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return true
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, err := syscall.Read(int(fd), b[:])
		quiet = err == syscall.EAGAIN
		return true
	})
	return err == nil && quiet
}
