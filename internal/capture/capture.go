// Package capture writes and reads the traffic of a test network as a pcapng file: every datagram and M3UA
// message, and notices of events that the traffic does not show (list updates, processor starts, router starts and
// kills).
//
// Each party has its own address in the capture, with port 4569 so that protocol analysers decode IAX2:
// 10.0.E.1 is the router of exchange E, 10.0.E.2 its switch, and 10.1.E.1 its callers. Notices are JSON in UDP
// datagrams from 10.255.0.1, port 4570.
package capture

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"sync"
	"time"

	"github.com/google/gopacket"
	"github.com/google/gopacket/layers"
	"github.com/google/gopacket/pcapgo"
)

// Kind is the kind of a Party.
type Kind uint8

// Kinds of Party.
const (
	Unknown      Kind = iota // a party outside the test network
	Router                   // router of an exchange
	Switch                   // switch of an exchange
	Callers                  // subscribers of an exchange
	NoticeSource             // source address of notices; not a host of the network
)

// Party is one end of a datagram or association.
type Party struct {
	Kind     Kind
	Exchange int
}

func (p Party) String() string {
	return fmt.Sprintf("%s %d", [...]string{"unknown", "router", "switch", "callers of", "notices"}[p.Kind], p.Exchange)
}

// Addr returns the party's address in captures. Exchange numbers must be between 0 and 255.
func (p Party) Addr() netip.Addr {
	switch p.Kind {
	case Router:
		return netip.AddrFrom4([4]byte{10, 0, byte(p.Exchange), 1})
	case Switch:
		return netip.AddrFrom4([4]byte{10, 0, byte(p.Exchange), 2})
	case Callers:
		return netip.AddrFrom4([4]byte{10, 1, byte(p.Exchange), 1})
	case NoticeSource:
		return netip.AddrFrom4([4]byte{10, 255, 0, 1})
	}
	return netip.AddrFrom4([4]byte{})
}

// PartyAt returns the party with an address, or the zero Party if there is none.
func PartyAt(a netip.Addr) Party {
	b := a.As4()
	for _, k := range []Kind{Router, Switch, Callers, NoticeSource} {
		if p := (Party{k, int(b[2])}); p.Addr() == a {
			return p
		}
	}
	return Party{}
}

// Ports used in captures.
const (
	iaxPort    = 4569
	noticePort = 4570
	m3uaPort   = 2905
	m3uaPPID   = 3 // SCTP payload protocol identifier of M3UA
)

// Packet is one datagram, one M3UA message, the end of an association, or one notice.
type Packet struct {
	At       time.Time
	From, To Party
	Payload  []byte
	M3UA     bool    // the payload is an M3UA message, not IAX2
	Reset    bool    // the association between From and To ended
	Notice   *Notice // set instead of a payload
}

// Notice reports an event that the traffic does not show. Exactly one field is set.
type Notice struct {
	Parameters *Parameters  `json:"figures,omitempty"`
	List       *List        `json:"list,omitempty"`
	Started    *Started     `json:"started,omitempty"`
	Router     *RouterState `json:"router,omitempty"`
}

// Parameters are the limits that the rules are checked against.
type Parameters struct {
	DrainGrace       time.Duration            `json:"drain_grace_ns"`
	ReleaseWait      time.Duration            `json:"release_wait_ns"`
	OverloadMultiple float64                  `json:"fall_multiple"`
	OverloadWindow   time.Duration            `json:"fall_window_ns"`
	Patience         map[string]time.Duration `json:"patience_ns"` // of one try, by called context
}

// List is the exchange list as one router received it.
type List struct {
	Router int     `json:"router"`
	Phases []Phase `json:"phases"`
}

// Phase is one entry of a list.
type Phase struct {
	ID       string `json:"id"`
	Exchange int    `json:"exchange"`
	Phase    string `json:"phase"`
}

// Started reports that a processor started. It can process ColdCapacity times Rate set-ups per second at first,
// rising linearly to Rate over ColdDuration.
type Started struct {
	Exchange     int           `json:"exchange"`
	ID           string        `json:"id"`
	Rate         float64       `json:"rate"`
	ColdCapacity float64       `json:"from"`
	ColdDuration time.Duration `json:"warm_ns"`
}

// RouterState reports that a router started or was killed.
type RouterState struct {
	Exchange int  `json:"exchange"`
	Up       bool `json:"up"`
}

// Writer writes a capture. It is safe for concurrent use.
type Writer struct {
	mu       sync.Mutex
	ng       *pcapgo.NgWriter
	buf      gopacket.SerializeBuffer
	closer   io.Closer
	err      error
	closed   bool
	lastTime time.Time
	raw      io.Writer    // the output of ng, for blocks that ng cannot write
	tsn      uint32       // last SCTP transmission sequence number
	sink     func(Packet) // receives the packets instead of a file
}

// NewSink returns a Writer that passes each packet to f as Read would, synchronously on the calling goroutine.
// f must not retain the payload.
func NewSink(f func(Packet)) *Writer { return &Writer{sink: f} }

// NewWriter starts a capture on w. Close also closes w if it is an io.Closer.
func NewWriter(w io.Writer) (*Writer, error) {
	ng, err := pcapgo.NewNgWriterInterface(w, pcapgo.NgInterface{Name: "loopback", LinkType: layers.LinkTypeRaw,
		SnapLength: 0, TimestampResolution: 9}, pcapgo.NgWriterOptions{SectionInfo: pcapgo.NgSectionInfo{
		Application: "pipitring", Comment: "notices are JSON from 10.255.0.1"}})
	if err != nil {
		return nil, err
	}
	c := &Writer{ng: ng, buf: gopacket.NewSerializeBuffer(), raw: w}
	c.closer, _ = w.(io.Closer)
	return c, nil
}

// Datagram records a datagram. Packets are kept in order of time: one that arrives late from another goroutine
// gets the time of the packet before it.
func (c *Writer) Datagram(at time.Time, from, to Party, payload []byte) {
	if c.sink != nil {
		c.sink(Packet{At: at, From: from, To: to, Payload: payload})
		return
	}
	c.write(at, from, to, iaxPort, payload)
}

// Notice records a notice.
func (c *Writer) Notice(at time.Time, n Notice) {
	if c.sink != nil {
		c.sink(Packet{At: at, Notice: &n})
		return
	}
	payload, err := json.Marshal(n)
	if err != nil {
		panic(err) // all fields can be marshalled
	}
	to := Party{}
	switch {
	case n.List != nil:
		to = Party{Router, n.List.Router}
	case n.Started != nil:
		to = Party{Switch, n.Started.Exchange}
	case n.Router != nil:
		to = Party{Router, n.Router.Exchange}
	}
	c.write(at, Party{Kind: NoticeSource}, to, noticePort, payload)
}

// Segment records bytes read from a TCP stream; seq is the number of bytes before them.
func (c *Writer) Segment(at time.Time, from, to Party, seq uint32, payload []byte) {
	if c.sink != nil {
		return // Message reports the messages of the stream
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	tcp := &layers.TCP{SrcPort: m3uaPort, DstPort: m3uaPort, Seq: seq, ACK: true, PSH: true, Window: 65535}
	c.writePacket(at, from, to, layers.IPProtocolTCP, tcp, tcp.SetNetworkLayerForChecksum, payload, "")
}

// Reset records the end of an association's connection, as seen by the end from.
func (c *Writer) Reset(at time.Time, from, to Party) {
	if c.sink != nil {
		c.sink(Packet{At: at, From: from, To: to, Reset: true})
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	tcp := &layers.TCP{SrcPort: m3uaPort, DstPort: m3uaPort, RST: true}
	c.writePacket(at, from, to, layers.IPProtocolTCP, tcp, tcp.SetNetworkLayerForChecksum, nil, "")
}

// Message records one M3UA message extracted from a TCP stream. Protocol analysers decode M3UA only over SCTP,
// so it is written as a synthetic SCTP packet with a comment that says so.
func (c *Writer) Message(at time.Time, from, to Party, message []byte) {
	if c.sink != nil {
		c.sink(Packet{At: at, From: from, To: to, Payload: message, M3UA: true})
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tsn++
	data := &layers.SCTPData{SCTPChunk: layers.SCTPChunk{Type: layers.SCTPChunkTypeData, Flags: 3},
		BeginFragment: true, EndFragment: true, TSN: c.tsn, PayloadProtocol: m3uaPPID}
	c.writePacket(at, from, to, layers.IPProtocolSCTP, sctpPacket{&layers.SCTP{SrcPort: m3uaPort, DstPort: m3uaPort}, data}, nil,
		message, "synthetic: cut from a TCP stream")
}

// sctpPacket serializes an SCTP header and one data chunk as one layer.
type sctpPacket struct {
	header *layers.SCTP
	data   *layers.SCTPData
}

func (p sctpPacket) LayerType() gopacket.LayerType { return layers.LayerTypeSCTP }

func (p sctpPacket) SerializeTo(b gopacket.SerializeBuffer, o gopacket.SerializeOptions) error {
	if err := p.data.SerializeTo(b, o); err != nil {
		return err
	}
	return p.header.SerializeTo(b, o)
}

func (c *Writer) write(at time.Time, from, to Party, port uint16, payload []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	udp := &layers.UDP{SrcPort: layers.UDPPort(port), DstPort: layers.UDPPort(port)}
	c.writePacket(at, from, to, layers.IPProtocolUDP, udp, udp.SetNetworkLayerForChecksum, payload, "")
}

// writePacket writes one packet. A packet older than the previous one gets the previous one's time.
func (c *Writer) writePacket(at time.Time, from, to Party, proto layers.IPProtocol, l gopacket.SerializableLayer,
	checksum func(gopacket.NetworkLayer) error, payload []byte, comment string) {
	if c.err != nil || c.closed {
		return
	}
	if at.Before(c.lastTime) {
		at = c.lastTime
	}
	c.lastTime = at
	ip := &layers.IPv4{Version: 4, TTL: 64, Protocol: proto, SrcIP: from.Addr().AsSlice(), DstIP: to.Addr().AsSlice()}
	if checksum != nil {
		_ = checksum(ip) // cannot fail for IPv4
	}
	if c.err = gopacket.SerializeLayers(c.buf, gopacket.SerializeOptions{FixLengths: true, ComputeChecksums: true}, ip, l,
		gopacket.Payload(payload)); c.err != nil {
		return
	}
	b := c.buf.Bytes()
	if comment == "" {
		c.err = c.ng.WritePacket(gopacket.CaptureInfo{Timestamp: at, CaptureLength: len(b), Length: len(b)}, b)
		return
	}
	if c.err = c.ng.Flush(); c.err == nil {
		_, c.err = c.raw.Write(commentedBlock(at, b, comment))
	}
}

// commentedBlock encodes an enhanced packet block with a comment, which pcapgo cannot write. The interface's
// timestamps are in nanoseconds.
func commentedBlock(at time.Time, data []byte, comment string) []byte {
	const enhancedPacket, optionComment = 6, 1
	pad := func(b []byte) []byte {
		for len(b)%4 != 0 {
			b = append(b, 0)
		}
		return b
	}
	le := binary.LittleEndian
	ns := uint64(at.UnixNano())
	b := le.AppendUint32(nil, enhancedPacket)
	b = le.AppendUint32(b, 0) // total length, set below
	b = le.AppendUint32(b, 0) // interface ID
	b = le.AppendUint32(b, uint32(ns>>32))
	b = le.AppendUint32(b, uint32(ns))
	b = le.AppendUint32(b, uint32(len(data)))
	b = le.AppendUint32(b, uint32(len(data)))
	b = pad(append(b, data...))
	b = le.AppendUint16(b, optionComment)
	b = le.AppendUint16(b, uint16(len(comment)))
	b = pad(append(b, comment...))
	b = le.AppendUint32(b, 0) // end of options
	b = le.AppendUint32(b, uint32(len(b)+4))
	le.PutUint32(b[4:], uint32(len(b)))
	return b
}

// Close ends the capture and returns the first error that occurred while writing it.
func (c *Writer) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return c.err
	}
	c.closed = true
	err := errors.Join(c.err, c.ng.Flush())
	if c.closer != nil {
		err = errors.Join(err, c.closer.Close())
	}
	c.err = err
	return err
}

// Read calls f for each packet of a capture, in order. It returns an error if the capture is malformed or
// truncated, or the error of f.
func Read(r io.Reader, f func(Packet) error) error {
	var blocks blockCounter
	ng, err := pcapgo.NewNgReader(io.TeeReader(r, &blocks), pcapgo.DefaultNgReaderOptions)
	if err != nil {
		return fmt.Errorf("capture: %w", err)
	}
	for n := 1; ; n++ {
		data, info, err := ng.ReadPacketData()
		if err == io.EOF && blocks.insideBlock() {
			err = io.ErrUnexpectedEOF
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return fmt.Errorf("capture: packet %d: %w", n, err)
		}
		p, ok, err := parse(data)
		if err != nil {
			return fmt.Errorf("capture: packet %d: %w", n, err)
		}
		if !ok {
			continue
		}
		p.At = info.Timestamp
		if err := f(p); err != nil {
			return err
		}
	}
}

// blockCounter tracks the blocks of a pcapng file, to distinguish its end from a truncation.
type blockCounter struct {
	header    []byte // type and length of the current block
	remaining uint32 // bytes left of the current block
}

func (c *blockCounter) Write(b []byte) (int, error) {
	n := len(b)
	for len(b) > 0 {
		if len(c.header) == 8 && c.remaining == 0 {
			c.header = c.header[:0]
		}
		if len(c.header) < 8 {
			take := min(8-len(c.header), len(b))
			c.header, b = append(c.header, b[:take]...), b[take:]
			if len(c.header) == 8 {
				c.remaining = max(8, binary.LittleEndian.Uint32(c.header[4:])) - 8
			}
			continue
		}
		take := min(c.remaining, uint32(len(b)))
		c.remaining, b = c.remaining-take, b[take:]
	}
	return n, nil
}

func (c *blockCounter) insideBlock() bool { return c.remaining > 0 || len(c.header)%8 != 0 }

// parse decodes one packet; ok is false for packets that are not part of the test network's traffic.
func parse(data []byte) (p Packet, ok bool, err error) {
	pkt := gopacket.NewPacket(data, layers.LayerTypeIPv4, gopacket.DecodeOptions{NoCopy: true, Lazy: true})
	ip, isIP := pkt.Layer(layers.LayerTypeIPv4).(*layers.IPv4)
	if !isIP {
		return p, false, nil
	}
	from, _ := netip.AddrFromSlice(ip.SrcIP.To4())
	to, _ := netip.AddrFromSlice(ip.DstIP.To4())
	p.From, p.To = PartyAt(from), PartyAt(to)
	if data, ok := pkt.Layer(layers.LayerTypeSCTPData).(*layers.SCTPData); ok {
		p.M3UA, p.Payload = true, append([]byte(nil), data.Payload...)
		return p, p.From.Kind != Unknown && p.To.Kind != Unknown, nil
	}
	if tcp, ok := pkt.Layer(layers.LayerTypeTCP).(*layers.TCP); ok && tcp.RST {
		p.Reset = true
		return p, p.From.Kind != Unknown && p.To.Kind != Unknown, nil
	}
	udp, isUDP := pkt.Layer(layers.LayerTypeUDP).(*layers.UDP)
	if !isUDP {
		return p, false, nil // raw TCP segment; its messages follow as SCTP packets
	}
	p.Payload = append([]byte(nil), udp.Payload...)
	if udp.DstPort == noticePort {
		p.Notice = &Notice{}
		if err := json.Unmarshal(p.Payload, p.Notice); err != nil {
			return p, false, fmt.Errorf("notice: %w", err)
		}
		return p, true, nil
	}
	return p, p.From.Kind != Unknown && p.To.Kind != Unknown, nil
}
