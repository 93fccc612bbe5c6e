package m3ua

import (
	"cmp"
	"time"
)

// Config sets one end of an association. Zero values take the defaults given here.
type Config struct {
	Context           uint32        // routing context; 0 is none
	Mode              uint32        // traffic mode; TrafficOverride
	ASP               uint32        // identifier of the own ASP; 0 is not told
	AckTimeout        time.Duration // T(ack): for the answer to ASPUP and the like, then it is sent again; 2 s
	Retries           int           // before the association is given up; 4
	HeartbeatInterval time.Duration // without anything heard; 5 s. Twice as long without an answer and the peer is gone
	MaxUnsentBytes    int           // bytes that wait for a peer that does not read; 256 KiB
}

func (c Config) withDefaults() Config {
	c.Mode = cmp.Or(c.Mode, TrafficOverride)
	c.AckTimeout = cmp.Or(c.AckTimeout, 2*time.Second)
	c.Retries = cmp.Or(c.Retries, 4)
	c.HeartbeatInterval = cmp.Or(c.HeartbeatInterval, 5*time.Second)
	c.MaxUnsentBytes = cmp.Or(c.MaxUnsentBytes, 256<<10)
	return c
}

// State of an ASP, at either end (4.3.1).
type State uint8

// States of an ASP.
const (
	Down State = iota
	Inactive
	Active
)

// EventKind tells what an Event reports.
type EventKind uint8

// Kinds of Event.
const (
	Activated       EventKind = iota + 1 // the ASP is active: traffic may be sent
	Deactivated                          // the ASP is no longer active, the association stands
	Received                             // Data came
	AssociationDown                      // the association has to be closed: Err tells why
	Unavailable                          // the peer told that a point code cannot be reached: PC is set
	Available
)

// Event is one thing that happened on a link.
type Event struct {
	Kind EventKind
	Data Data // its payload is valid until the next call
	PC   uint32
	Err  error
}

// Link is one end of one association between two signalling processes (IPSP, double-ended exchange is not used: who
// connected sends ASPUP and ASPAC, 4.3).
type Link struct {
	Out    []byte // to be written to the connection, by the user, who resets it
	Events []Event
	Stats  Stats

	cfg      Config
	opener   bool
	state    State
	stream   Stream
	msg      Message
	want     Type // answer awaited, of ASPUP, ASPAC, ASPIA or ASPDN
	asked    Type
	askAt    time.Duration // when it is sent again; 0 is nothing awaited
	tries    int
	heard    time.Duration // when anything came last
	beatAt   time.Duration
	dead     bool
	stopping bool
	peer     uint32 // ASP identifier that the other end told
}

// Stats count since the link began.
type Stats struct {
	In, Out, Errors, Unknown uint64
}

// NewLink begins an association over a connection that has just been made; opener is the end that connected.
func NewLink(now time.Duration, opener bool, c Config) *Link {
	l := &Link{cfg: c.withDefaults(), opener: opener, heard: now}
	l.beatAt = now + l.cfg.HeartbeatInterval
	if opener {
		l.ask(now, ASPUP, ASPUPAck)
	}
	return l
}

// State is that of the ASP.
func (l *Link) State() State { return l.state }

// PeerASP is the ASP identifier that the end which connected told with ASPUP; 0 if none.
func (l *Link) PeerASP() uint32 { return l.peer }

// Next is when Advance has something to do.
func (l *Link) Next() (at time.Duration, ok bool) {
	if l.dead {
		return 0, false
	}
	at = l.beatAt
	if l.askAt != 0 {
		at = min(at, l.askAt)
	}
	return at, true
}

// Send sends one user message; false if the ASP is not active or the peer does not read.
func (l *Link) Send(d Data) bool {
	if l.state != Active || l.dead {
		return false
	}
	if len(l.Out)+dataHeader+len(d.Payload) > l.cfg.MaxUnsentBytes {
		l.breakOff(errNotRead)
		return false
	}
	l.Stats.Out++
	l.Out = AppendData(l.Out, l.cfg.Context, d)
	return true
}

// Stop asks the peer to take the ASP out of service: traffic ends, the association stands.
func (l *Link) Stop(now time.Duration) {
	if l.state == Active && !l.stopping {
		l.stopping = true
		l.ask(now, ASPIA, ASPIAAck)
	}
}

// Receive takes bytes from the connection.
func (l *Link) Receive(now time.Duration, b []byte) {
	if l.dead {
		return
	}
	l.heard, l.beatAt = now, now+l.cfg.HeartbeatInterval
	err := l.stream.Feed(b, func(m []byte) error {
		if !l.dead {
			l.message(now, m)
		}
		return nil
	})
	if err != nil {
		l.error(ErrProtocol)
		l.breakOff(err)
	}
}

// Advance does what is due: repeats, heartbeats, giving up.
func (l *Link) Advance(now time.Duration) {
	if l.dead {
		return
	}
	if l.askAt != 0 && l.askAt <= now {
		if l.tries >= l.cfg.Retries {
			l.breakOff(errNoAck)
			return
		}
		l.tries++
		l.askAt = now + l.cfg.AckTimeout
		l.send(l.asked, l.askParams(l.asked)...)
	}
	if l.beatAt <= now {
		if now-l.heard >= 2*l.cfg.HeartbeatInterval {
			l.breakOff(errSilent)
			return
		}
		l.beatAt = now + l.cfg.HeartbeatInterval
		l.send(BEAT)
	}
}

func (l *Link) send(t Type, params ...Param) {
	if len(l.Out) > l.cfg.MaxUnsentBytes {
		l.breakOff(errNotRead)
		return
	}
	l.Stats.Out++
	l.Out = Append(l.Out, t, params...)
}

func (l *Link) error(code uint32) {
	l.Stats.Errors++
	l.send(ERR, Uint32Param(TagErrorCode, code))
}

func (l *Link) ask(now time.Duration, t, answer Type) {
	l.asked, l.want, l.tries, l.askAt = t, answer, 0, now+l.cfg.AckTimeout
	l.send(t, l.askParams(t)...)
}

func (l *Link) askParams(t Type) (p []Param) {
	switch t {
	case ASPUP:
		if l.cfg.ASP != 0 {
			p = append(p, Uint32Param(TagASPIdentifier, l.cfg.ASP))
		}
	case ASPAC:
		p = append(p, Uint32Param(TagTrafficMode, l.cfg.Mode))
		fallthrough
	case ASPIA:
		if l.cfg.Context != 0 {
			p = append(p, Uint32Param(TagRoutingContext, l.cfg.Context))
		}
	}
	return p
}

func (l *Link) emit(e Event) { l.Events = append(l.Events, e) }

func (l *Link) breakOff(err error) {
	if l.dead {
		return
	}
	l.set(Down)
	l.dead, l.askAt = true, 0
	l.emit(Event{Kind: AssociationDown, Err: err})
}

// set changes the ASP's state and tells what that means for traffic.
func (l *Link) set(s State) {
	was := l.state
	l.state = s
	switch {
	case was != Active && s == Active:
		l.emit(Event{Kind: Activated})
	case was == Active && s != Active:
		l.emit(Event{Kind: Deactivated})
	}
}

func (l *Link) message(now time.Duration, b []byte) {
	l.Stats.In++
	m := &l.msg
	if err := Parse(b, m); err != nil {
		code := ErrParameterField
		if err == ErrVersion {
			code = ErrInvalidVersion
		}
		l.error(code)
		return
	}
	if l.askAt != 0 && m.Type == l.want {
		l.askAt = 0
		l.answered(now)
		return
	}
	switch m.Type {
	case DATA:
		l.data(m)
	case BEAT:
		l.send(BEATAck, m.Params...)
	case ASPUP, ASPAC, ASPIA, ASPDN:
		l.asks(m)
	case DUNA, DAVA, DUPU, SCON, DRST:
		l.reachable(m)
	case DAUD: // we know of no route but our own: what is asked about is reached if it is us
		l.send(DAVA, m.Params...)
	case BEATAck, NTFY, ERR, ASPUPAck, ASPACAck, ASPIAAck, ASPDNAck:
	default:
		l.Stats.Unknown++
		if m.Type.Class > ClassASPTM {
			l.error(ErrUnsupportedClass)
		} else {
			l.error(ErrUnsupportedType)
		}
	}
}

// answered goes on after the peer took what was asked.
func (l *Link) answered(now time.Duration) {
	switch l.want {
	case ASPUPAck:
		l.set(Inactive)
		l.ask(now, ASPAC, ASPACAck)
	case ASPACAck:
		l.set(Active)
	case ASPIAAck:
		l.set(Inactive)
		l.ask(now, ASPDN, ASPDNAck)
	case ASPDNAck:
		l.breakOff(errStopped)
	}
}

// asks takes what the peer that connected asks of its ASP.
func (l *Link) asks(m *Message) {
	if l.opener {
		l.error(ErrUnexpected)
		return
	}
	if rc, ok := m.Uint(TagRoutingContext); ok && l.cfg.Context != 0 && rc != l.cfg.Context {
		l.error(ErrInvalidRoutingCtx)
		return
	}
	switch m.Type {
	case ASPUP:
		l.peer, _ = m.Uint(TagASPIdentifier)
		l.set(Inactive) // also from active: the peer began anew (4.3.4.1)
		l.send(ASPUPAck)
		l.send(NTFY, Uint32Param(TagStatus, StatusASInactive))
	case ASPAC:
		if l.state == Down {
			l.error(ErrUnexpected)
			return
		}
		if mode, ok := m.Uint(TagTrafficMode); ok && mode != l.cfg.Mode {
			l.error(ErrTrafficMode)
			return
		}
		l.send(ASPACAck, m.Params...)
		l.send(NTFY, Uint32Param(TagStatus, StatusASActive))
		l.set(Active)
	case ASPIA:
		l.send(ASPIAAck)
		l.set(min(l.state, Inactive))
	case ASPDN:
		l.send(ASPDNAck)
		l.set(Down)
	}
}

func (l *Link) data(m *Message) {
	if l.state != Active {
		l.error(ErrUnexpected)
		return
	}
	if rc, ok := m.Uint(TagRoutingContext); ok && l.cfg.Context != 0 && rc != l.cfg.Context {
		l.error(ErrInvalidRoutingCtx)
		return
	}
	d, err := ParseData(m)
	if err != nil {
		l.error(ErrMissingParameter)
		return
	}
	d.Payload = append([]byte(nil), d.Payload...) // the stream's memory moves on before events are taken
	l.emit(Event{Kind: Received, Data: d})
}

func (l *Link) reachable(m *Message) {
	pcs := m.Param(TagAffectedPC)
	for ; len(pcs) >= 4; pcs = pcs[4:] {
		pc := uint32(pcs[1])<<16 | uint32(pcs[2])<<8 | uint32(pcs[3])
		switch m.Type {
		case DUNA, DUPU:
			l.emit(Event{Kind: Unavailable, PC: pc})
		case DAVA:
			l.emit(Event{Kind: Available, PC: pc})
		}
	}
}

// linkError is why a link broke.
type linkError string

func (e linkError) Error() string { return "m3ua: " + string(e) }

const (
	errNoAck   linkError = "the peer does not answer"
	errSilent  linkError = "nothing heard over two heartbeats"
	errNotRead linkError = "the peer does not read"
	errStopped linkError = "taken out of service"
)
