//go:build !linux

package runtime

import (
	"golang.org/x/sys/unix"

	"pipitring/internal/iax2"
)

const (
	batchSize        = 64   // datagrams read per call of receive
	maxDatagramBytes = 2048 // longer datagrams are truncated and rejected as malformed
)

// batcher receives and sends datagrams one by one on systems without batched system calls. It never blocks.
type batcher struct {
	fd  int
	buf [maxDatagramBytes]byte
}

func newBatcher(fd int) *batcher { return &batcher{fd: fd} }

// receive passes at most one batch of waiting datagrams to handle and returns their number.
func (b *batcher) receive(handle func(from iax2.Addr, datagram []byte)) int {
	for i := range batchSize {
		n, sa, err := unix.Recvfrom(b.fd, b.buf[:], unix.MSG_DONTWAIT)
		if err != nil {
			return i
		}
		if in4, ok := sa.(*unix.SockaddrInet4); ok {
			handle(iax2.Addr{IP: in4.Addr, Port: uint16(in4.Port)}, b.buf[:n])
		}
	}
	return batchSize
}

// send sends the outbox and returns the number of datagrams that the socket did not accept.
func (b *batcher) send(o *iax2.Outbox) (dropped int) {
	for i := range o.Len() {
		to, d := o.At(i)
		if unix.Sendto(b.fd, d, unix.MSG_DONTWAIT, &unix.SockaddrInet4{Port: int(to.Port), Addr: to.IP}) != nil {
			dropped++
		}
	}
	return dropped
}
