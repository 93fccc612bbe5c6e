package iax2

import (
	"cmp"
	"time"
)

// Config sets the limits, timers and checks of an Endpoint. A zero value selects the default given with the
// field.
type Config struct {
	// MaxDialogs is the largest number of concurrent dialogs; default 32,000, at most MaxCallNumber-1.
	MaxDialogs int
	// MaxPerHost limits the concurrent incoming dialogs of one untrusted IP address; 0 means no limit.
	MaxPerHost int

	// RetransmitInterval is the time before the first retransmission of a frame; it doubles with each further
	// one. Default 500 ms (RFC 5456, 7.2.1).
	RetransmitInterval time.Duration
	// MaxRetransmitInterval bounds the doubled interval; default 10 s.
	MaxRetransmitInterval time.Duration
	// MaxRetransmits is the number of retransmissions without an ACK after which the peer counts as
	// unreachable; default 4.
	MaxRetransmits int

	// AckDelay is how long an ACK waits for a full frame that can carry it; 0 sends it at the next Flush.
	AckDelay time.Duration
	// AcceptDelay is the time after which an offered call is accepted automatically; 0 accepts it at once.
	AcceptDelay time.Duration
	// Linger is how long the call number of a closed dialog stays reserved; default 3 s.
	Linger time.Duration
	// AuthTimeout is the time allowed for the answer to a challenge; default 5 s.
	AuthTimeout time.Duration
	// PingInterval is the interval between PINGs on answered calls; 0 sends none.
	PingInterval time.Duration
	// TokenLifetime is the time for which a call token is valid; default 10 s.
	TokenLifetime time.Duration
	// MaxRefresh is the longest registration granted, and the refresh time stated in DPREP; default 60 s.
	MaxRefresh time.Duration

	// Formats is the bit mask of accepted media formats; default ulaw and alaw.
	Formats uint32
	// RequireTokens requires a call token in each NEW, REGREQ and REGREL from an untrusted host.
	RequireTokens bool
	// Trusted reports whether a host is exempt from call tokens, challenges and MaxPerHost; nil trusts no host.
	Trusted func(Addr) bool
	// Secret returns the secret of a user. If it is nil, anybody may call and nobody may register.
	Secret func(user string) (secret string, known bool)
	// AcceptUnauthenticated accepts calls without a challenge even if Secret is set. Registrations are always challenged.
	AcceptUnauthenticated bool
	// NumberExists reports whether a called number is served, for the answer to DPREQ; nil accepts every number.
	NumberExists func(number string) bool
	// Random supplies challenges, token keys and the first call number; it must be unpredictable in production.
	// nil selects a constant, which only tests may use.
	Random func() uint64
}

// defaultFormats is ulaw and alaw (8.7).
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
	if c.NumberExists == nil {
		c.NumberExists = func(string) bool { return true }
	}
	if c.Random == nil {
		c.Random = func() uint64 { return 1 }
	}
	return c
}

// Request holds what a NEW states about a call. Empty texts are not sent.
type Request struct {
	Called      string
	Calling     string
	CallingName string
	Context     string // context of the called number (CALLED CONTEXT)
	User        string // user name to authenticate as
	// Redirecting is the number that redirected the call (RDNIS).
	Redirecting string
	// Format is the requested media format; 0 selects the lowest of the configured formats.
	Format uint32
	// Secret answers a challenge. Only a digest of it is sent.
	Secret string
}

// EventKind is the type of an Event.
type EventKind uint8

// Kinds of Event. Every call, from Offered or the method Call on, ends with exactly one Closed.
const (
	// Offered reports an incoming call; Request is set.
	Offered EventKind = iota + 1
	// Accepted reports that the far end has accepted the call.
	Accepted
	// Progress reports that the call is ringing, proceeding or in progress at the far end.
	Progress
	// Answered reports that the far end has answered.
	Answered
	// Released reports that the far end released or rejected the call, or that its challenge cannot be answered;
	// Cause is set.
	Released
	// Lost reports that the far end is unreachable or does not know the dialog; Reason is set.
	Lost
	// Closed reports that the dialog has ended and no further event follows.
	Closed
	// Registered reports that a user has registered with this endpoint; User, From and Refresh are set.
	Registered
	// Unregistered reports that a user has removed a registration here; User and From are set.
	Unregistered
	// RegistrationAccepted reports that the peer has accepted our own registration; Refresh is set.
	RegistrationAccepted
	// RegistrationRejected reports that our own registration has failed; Cause is set.
	RegistrationRejected
)

// Reason is why a dialog was lost.
type Reason uint8

// Reasons of a Lost event.
const (
	// NoReply means that all retransmissions of a frame went unanswered.
	NoReply Reason = iota + 1
	// Invalid means that the peer answered INVAL.
	Invalid
	// Restarted means that the peer opened a new dialog with the same call number.
	Restarted
)

// Event reports one change of a dialog or a registration.
type Event struct {
	Kind   EventKind
	Dialog *Dialog
	// Cause is the Q.850 cause of Released or RegisterRejected; 0 if none was received.
	Cause   uint8
	Reason  Reason
	Request Request // set on Offered
	User    string  // set on Registered, Unregistered, RegistrationAccepted and RegistrationRejected
	From    Addr
	Refresh time.Duration
}

// Stats counts what an Endpoint has done since it was created.
type Stats struct {
	In, Out     uint64 // datagrams received and sent
	Malformed   uint64 // datagrams and payloads that could not be parsed
	Meta        uint64 // meta frames, which are dropped
	Duplicates  uint64 // frames received more than once
	Gaps        uint64 // frames received ahead of sequence
	Retransmits uint64 // frames retransmitted
	Stray       uint64 // frames that match no dialog
	Invals      uint64 // INVAL frames sent
	// Rejected counts NEW and registration frames rejected without a dialog, and calls that failed
	// authentication.
	Rejected        uint64
	TokensIssued    uint64 // call tokens issued
	Unsupported     uint64 // IAX frames of a subclass that is not supported
	Relayed         uint64 // media frames relayed
	UnknownElements uint64 // information elements that the RFCs do not define
}

// Packet is one datagram in an Outbox: its destination and the range of its bytes in the shared buffer.
type Packet struct {
	To         Addr
	start, end int
}

// Outbox collects outgoing datagrams in sending order. Their bytes share one buffer.
type Outbox struct {
	buf     []byte
	packets []Packet
}

// Len returns the number of datagrams.
func (o *Outbox) Len() int { return len(o.packets) }

// At returns the destination and the bytes of the i-th datagram. The bytes are valid until Reset.
func (o *Outbox) At(i int) (to Addr, b []byte) {
	p := o.packets[i]
	return p.To, o.buf[p.start:p.end]
}

// Reset empties the outbox and keeps its memory for reuse.
func (o *Outbox) Reset() { o.buf, o.packets = o.buf[:0], o.packets[:0] }

func (o *Outbox) add(to Addr, b []byte) {
	start := len(o.buf)
	o.buf = append(o.buf, b...)
	o.packets = append(o.packets, Packet{to, start, len(o.buf)})
}
