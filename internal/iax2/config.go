package iax2

import (
	"cmp"
	"time"
)

// Config sets an Endpoint's limits and timers. Zero values take the defaults given here.
type Config struct {
	MaxDialogs int // at once, 32,000
	MaxPerHost int // incoming ones of one untrusted IP address; 0 is no limit

	RetransmitInterval    time.Duration // gap before a frame is sent again, then doubling; 500 ms (RFC 5456, 7.2.1)
	MaxRetransmitInterval time.Duration // the longest gap; 10 s
	MaxRetransmits        int           // repeats without an ACK before the peer is held to be gone; 4

	AckDelay      time.Duration // an ACK waits this long for a frame to ride on; 0 is not at all
	AcceptDelay   time.Duration // an offered call is accepted by itself after this; 0 is at once
	Linger        time.Duration // a closed dialog's call number stays taken; 3 s
	AuthTimeout   time.Duration // for the answer to a challenge; 5 s
	PingInterval  time.Duration // on dialogs that stand; 0 is never
	TokenLifetime time.Duration // of a call token; 10 s
	MaxRefresh    time.Duration // longest registration granted; 60 s

	Formats       uint32 // media formats taken; ulaw and alaw
	RequireTokens bool   // NEW and REGREQ of untrusted hosts need a call token
	// Trusted hosts are exempt from tokens, challenges and MaxPerHost; nil trusts none.
	Trusted func(Addr) bool
	// Secret finds a user's secret; nil lets anybody call and nobody register.
	Secret func(user string) (secret string, known bool)
	// OpenCalls lets anybody call also where there are secrets; registrations are always challenged.
	OpenCalls bool
	// Exists tells whether a called number is served, for DPREQ; nil is yes.
	Exists func(number string) bool
	// Random feeds challenges and token keys; it has to be unpredictable in service.
	Random func() uint64
}

// ulaw and alaw (8.7).
const defaultFormats = 0x0004 | 0x0008

func (c Config) withDefaults() Config {
	c.MaxDialogs = min(cmp.Or(c.MaxDialogs, 32000), MaxCallNumber-1)
	c.RetransmitInterval = cmp.Or(c.RetransmitInterval, 500*time.Millisecond)
	c.MaxRetransmitInterval = cmp.Or(c.MaxRetransmitInterval, 10*time.Second)
	c.MaxRetransmits = cmp.Or(c.MaxRetransmits, 4)
	c.Linger = cmp.Or(c.Linger, 3*time.Second)
	c.AuthTimeout = cmp.Or(c.AuthTimeout, 5*time.Second)
	c.TokenLifetime = cmp.Or(c.TokenLifetime, 10*time.Second)
	c.MaxRefresh = cmp.Or(c.MaxRefresh, time.Minute)
	c.Formats = cmp.Or(c.Formats, defaultFormats)
	if c.Trusted == nil {
		c.Trusted = func(Addr) bool { return false }
	}
	if c.Exists == nil {
		c.Exists = func(string) bool { return true }
	}
	if c.Random == nil {
		c.Random = func() uint64 { return 1 }
	}
	return c
}

// Request is what a NEW says of a call.
type Request struct {
	Called      string
	Calling     string
	CallingName string
	Context     string
	User        string
	Redirecting string // RDNIS: who passed the call on
	Format      uint32 // wanted media format; 0 is the first of ours
	Secret      string // to answer a challenge with; never sent
}

// Kind tells what an Event reports.
type Kind uint8

// Kinds of Event. Every dialog that the user knows (from Offered or Call) ends with one Closed.
const (
	Offered    Kind = iota + 1 // an incoming call: Request is set
	Accepted                   // the far end took the call
	Progress                   // it rings, or is proceeding
	Answered                   // it answered: the call stands
	Released                   // the far end ended or rejected it: Cause is set
	Lost                       // the far end is gone or knows nothing of it: Reason is set
	Closed                     // nothing of the dialog is left at either end
	Registered                 // a user registered here: User, From and Refresh are set
	Unregistered
	RegisterDone     // our own registration was taken: Refresh is set
	RegisterRejected // or not: Cause is set
)

// Reason tells why a dialog was lost.
type Reason uint8

// Reasons of Lost.
const (
	NoReply   Reason = iota + 1 // repeats went unanswered
	Invalid                     // the peer answered INVAL
	Restarted                   // the peer used the call number anew
)

// Event is one thing that a dialog did.
type Event struct {
	Kind    Kind
	Dialog  *Dialog
	Cause   uint8 // Q.850 cause of Released, 0 if none was told
	Reason  Reason
	Request Request // of Offered
	User    string  // of Registered, Unregistered
	From    Addr
	Refresh time.Duration
}

// Stats count what happened since the start.
type Stats struct {
	In, Out      uint64 // datagrams
	Malformed    uint64 // datagrams or elements that could not be read
	Meta         uint64 // meta frames, recognised and dropped
	Duplicates   uint64 // frames received again
	Gaps         uint64 // frames received too early, answered by VNAK
	Repeats      uint64 // frames sent again
	Stray        uint64 // frames of unknown dialogs
	Invals       uint64 // INVAL sent
	Rejected     uint64 // NEW and REGREQ rejected without a dialog
	Tokens       uint64 // call tokens handed out
	Unsupported  uint64
	Relayed      uint64 // media frames passed on
	UnknownElems uint64
}

// Packet is one datagram of an Outbox.
type Packet struct {
	To         Addr
	start, end int
}

// Outbox gathers datagrams to send, in order.
type Outbox struct {
	buf  []byte
	list []Packet
}

// Len is the number of datagrams.
func (o *Outbox) Len() int { return len(o.list) }

// At is one datagram; its bytes are valid until Reset.
func (o *Outbox) At(i int) (to Addr, b []byte) {
	p := o.list[i]
	return p.To, o.buf[p.start:p.end]
}

// Reset empties the outbox and keeps its memory.
func (o *Outbox) Reset() { o.buf, o.list = o.buf[:0], o.list[:0] }

func (o *Outbox) add(to Addr, b []byte) {
	start := len(o.buf)
	o.buf = append(o.buf, b...)
	o.list = append(o.list, Packet{to, start, len(o.buf)})
}
