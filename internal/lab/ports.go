package lab

import (
	"errors"
	"math/rand/v2"
	"net"
	"net/netip"
)

// Range of the routers' ports. A router that is killed and restarted needs the same port again, so the range is below the
// systems' ephemeral ports (from 32768, or from 49152), which other sockets get.
const (
	lowestPort  = 20000
	highestPort = 32000
)

// freePort returns a loopback address with a port that is free for both TCP and UDP.
func freePort() (netip.AddrPort, error) {
	loopback := netip.AddrFrom4([4]byte{127, 0, 0, 1})
	for range 200 {
		at := netip.AddrPortFrom(loopback, uint16(lowestPort+rand.IntN(highestPort-lowestPort)))
		tcp, err := net.ListenTCP("tcp4", net.TCPAddrFromAddrPort(at))
		if err != nil {
			continue
		}
		udp, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(at))
		tcp.Close()
		if err != nil {
			continue
		}
		udp.Close()
		return at, nil
	}
	return netip.AddrPort{}, errors.New("no free port from 20000 to 31999 in 200 tries")
}
