package runtime

import (
	"unsafe"

	"golang.org/x/sys/unix"

	"pipitring/internal/iax2"
)

const (
	batchSize        = 64   // datagrams per system call
	maxDatagramBytes = 2048 // longer datagrams are truncated and rejected as malformed
)

// mmsghdr is the kernel's struct mmsghdr.
type mmsghdr struct {
	hdr unix.Msghdr
	len uint32
	_   [4]byte
}

// batcher receives and sends up to batchSize datagrams with one system call. It never blocks.
type batcher struct {
	fd      int
	in      [batchSize]mmsghdr
	out     [batchSize]mmsghdr
	inIov   [batchSize]unix.Iovec
	outIov  [batchSize]unix.Iovec
	inAddr  [batchSize]unix.RawSockaddrInet4
	outAddr [batchSize]unix.RawSockaddrInet4
	buf     [batchSize][maxDatagramBytes]byte
}

func newBatcher(fd int) *batcher {
	b := &batcher{fd: fd}
	for i := range batchSize {
		b.inIov[i].Base = &b.buf[i][0]
		b.inIov[i].SetLen(maxDatagramBytes)
		b.in[i].hdr.Iov, b.in[i].hdr.Iovlen = &b.inIov[i], 1
		b.in[i].hdr.Name = (*byte)(unsafe.Pointer(&b.inAddr[i]))
		b.out[i].hdr.Iov, b.out[i].hdr.Iovlen = &b.outIov[i], 1
		b.out[i].hdr.Name = (*byte)(unsafe.Pointer(&b.outAddr[i]))
		b.out[i].hdr.Namelen = unix.SizeofSockaddrInet4
	}
	return b
}

// receive passes at most one batch of waiting datagrams to handle and returns their number; 0 on an error too.
func (b *batcher) receive(handle func(from iax2.Addr, datagram []byte)) int {
	for i := range batchSize {
		b.in[i].hdr.Namelen = unix.SizeofSockaddrInet4
	}
	n, _, errno := unix.RawSyscall6(unix.SYS_RECVMMSG, uintptr(b.fd), uintptr(unsafe.Pointer(&b.in[0])), batchSize,
		unix.MSG_DONTWAIT, 0, 0)
	if errno != 0 {
		return 0
	}
	for i := range int(n) {
		handle(addrFromRaw(&b.inAddr[i]), b.buf[i][:b.in[i].len])
	}
	return int(n)
}

// send sends the outbox and returns the number of datagrams that the socket did not accept.
func (b *batcher) send(o *iax2.Outbox) (dropped int) {
	for next := 0; next < o.Len(); {
		n := min(batchSize, o.Len()-next)
		for i := range n {
			to, d := o.At(next + i)
			setRawAddr(&b.outAddr[i], to)
			b.outIov[i].Base = &d[0]
			b.outIov[i].SetLen(len(d))
		}
		sent, _, errno := unix.RawSyscall6(unix.SYS_SENDMMSG, uintptr(b.fd), uintptr(unsafe.Pointer(&b.out[0])),
			uintptr(n), unix.MSG_DONTWAIT, 0, 0)
		switch errno {
		case 0:
			next += int(sent)
		case unix.EINTR:
		case unix.EAGAIN, unix.ENOBUFS:
			return dropped + o.Len() - next // the socket's buffer is full: retransmissions recover the loss
		default:
			dropped++ // this datagram cannot be sent, for example to port 0
			next++
		}
	}
	return dropped
}

// addrFromRaw converts a kernel socket address, whose port is in network byte order.
func addrFromRaw(sa *unix.RawSockaddrInet4) iax2.Addr {
	p := (*[2]byte)(unsafe.Pointer(&sa.Port))
	return iax2.Addr{IP: sa.Addr, Port: uint16(p[0])<<8 | uint16(p[1])}
}

// setRawAddr fills in a kernel socket address.
func setRawAddr(sa *unix.RawSockaddrInet4, a iax2.Addr) {
	sa.Family, sa.Addr = unix.AF_INET, a.IP
	p := (*[2]byte)(unsafe.Pointer(&sa.Port))
	p[0], p[1] = byte(a.Port>>8), byte(a.Port)
}
