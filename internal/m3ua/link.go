package m3ua

import (
	"cmp"
	"time"
)

// Config describes one end of an association. A zero value selects the default given with the field.
type Config struct {
	// RoutingContext is the routing context; 0 sends none.
	RoutingContext uint32
	// Mode is the traffic mode; default TrafficOverride.
	Mode uint32
	// ASPIdentifier is the ASP identifier sent with ASPUP; 0 sends none.
	ASPIdentifier uint32
	// AckTimeout is T(ack), the time after which a request without an acknowledgement, such as ASPUP, is
	// repeated; default 2 s.
	AckTimeout time.Duration
	// MaxRetries is the number of repetitions after which the association fails; default 4.
	MaxRetries int
	// HeartbeatInterval is the time without received bytes after which BEAT is sent; default 5 s. After twice
	// this time without received bytes the association fails.
	HeartbeatInterval time.Duration
	// MaxUnsentBytes limits the bytes in Link.Out, which grow if the peer does not read; default 256 KiB.
	MaxUnsentBytes int
}

func (c Config) withDefaults() Config {
	c.Mode = cmp.Or(c.Mode, TrafficOverride)
	c.AckTimeout = cmp.Or(c.AckTimeout, 2*time.Second)
	c.MaxRetries = cmp.Or(c.MaxRetries, 4)
	c.HeartbeatInterval = cmp.Or(c.HeartbeatInterval, 5*time.Second)
	c.MaxUnsentBytes = cmp.Or(c.MaxUnsentBytes, 256<<10)
	return c
}

// State is the state of an ASP, at either end (4.3.1).
type State uint8

// States of an ASP.
const (
	Down     State = iota // not acknowledged by the peer (ASP-DOWN)
	Inactive              // acknowledged, without traffic (ASP-INACTIVE)
	Active                // in service (ASP-ACTIVE)
)

// EventKind is the type of an Event.
type EventKind uint8

// Kinds of Event.
const (
	// Activated reports that the ASP is active and traffic may be sent.
	Activated EventKind = iota + 1
	// Deactivated reports that the ASP is no longer active. The association may continue.
	Deactivated
	// Received reports a user message; Data is set.
	Received
	// AssociationDown reports that the association has ended and its connection must be closed; Err states the
	// reason.
	AssociationDown
	// DestinationUnavailable reports that a destination cannot be reached by way of the peer; PC is set.
	DestinationUnavailable
	// DestinationAvailable reports that a destination can be reached again; PC is set.
	DestinationAvailable
)

// Event reports one change of a link.
type Event struct {
	Kind      EventKind
	Data      Data   // set on Received
	PointCode uint32 // point code, set on DestinationUnavailable and DestinationAvailable
	Err       error  // set on AssociationDown
}

// Link is one end of an association between two signalling processes. The IPSP double exchange is not used: the
// end that opened the connection sends ASPUP and ASPAC (4.3).
type Link struct {
	Out    []byte  // bytes for the connection, to be written to it and removed
	Events []Event // in order, to be taken and removed
	Stats  Stats

	cfg            Config
	initiator      bool
	state          State
	stream         Stream
	msg            Message
	awaitedAck     Type          // acknowledgement that answers the pending request
	pendingRequest Type          // pending request: ASPUP, ASPAC, ASPIA or ASPDN
	repeatAt       time.Duration // when the pending request is repeated; 0 if none is pending
	retries        int
	receivedAt     time.Duration // when bytes were last received
	heartbeatAt    time.Duration
	closed         bool   // the association has ended
	stopping       bool   // Stop was called
	peerASP        uint32 // ASP identifier received from the peer; 0 if none
}

// Stats counts what a link has done since it was created. In and Out count messages received and sent, Errors ERR
// messages sent, and Unknown received messages of unknown type.
type Stats struct {
	In, Out, ErrorsSent, Unknown uint64
}

// NewLink starts an association over a newly opened connection; initiator is set at the end that opened it.
func NewLink(now time.Duration, initiator bool, c Config) *Link {
	l := &Link{cfg: c.withDefaults(), initiator: initiator, receivedAt: now}
	l.heartbeatAt = now + l.cfg.HeartbeatInterval
	if initiator {
		l.sendRequest(now, ASPUP, ASPUPAck)
	}
	return l
}

// State returns the state of the ASP.
func (l *Link) State() State { return l.state }

// PeerASP returns the ASP identifier that the peer sent with ASPUP; 0 if it sent none.
func (l *Link) PeerASP() uint32 { return l.peerASP }

// Next returns the time at which Advance is next due; ok is false if the association has ended.
func (l *Link) Next() (at time.Duration, ok bool) {
	if l.closed {
		return 0, false
	}
	at = l.heartbeatAt
	if l.repeatAt != 0 {
		at = min(at, l.repeatAt)
	}
	return at, true
}

// Send sends one user message. It returns false if the ASP is not active or if MaxUnsentBytes would be
// exceeded, which ends the association.
func (l *Link) Send(d Data) bool {
	if l.state != Active || l.closed {
		return false
	}
	if len(l.Out)+dataHeaderSize+len(d.Payload) > l.cfg.MaxUnsentBytes {
		l.endAssociation(errSendBufferFull)
		return false
	}
	l.Stats.Out++
	l.Out = AppendData(l.Out, l.cfg.RoutingContext, d)
	return true
}

// Stop takes an active ASP out of service: it sends ASPIA and then ASPDN, and the association ends when the peer has
// acknowledged both. It has no effect in other states.
func (l *Link) Stop(now time.Duration) {
	if l.state == Active && !l.stopping {
		l.stopping = true
		l.sendRequest(now, ASPIA, ASPIAAck)
	}
}

// Receive handles bytes from the connection.
func (l *Link) Receive(now time.Duration, b []byte) {
	if l.closed {
		return
	}
	l.receivedAt, l.heartbeatAt = now, now+l.cfg.HeartbeatInterval
	err := l.stream.Feed(b, func(m []byte) error {
		if !l.closed {
			l.handleMessage(now, m)
		}
		return nil
	})
	if err != nil {
		l.sendError(CodeProtocolError)
		l.endAssociation(err)
	}
}

// Advance performs what is due by now: repetitions, heartbeats and time-outs.
func (l *Link) Advance(now time.Duration) {
	if l.closed {
		return
	}
	if l.repeatAt != 0 && l.repeatAt <= now {
		if l.retries >= l.cfg.MaxRetries {
			l.endAssociation(errNoAck)
			return
		}
		l.retries++
		l.repeatAt = now + l.cfg.AckTimeout
		l.send(l.pendingRequest, l.requestParams(l.pendingRequest)...)
	}
	if l.heartbeatAt <= now {
		if now-l.receivedAt >= 2*l.cfg.HeartbeatInterval {
			l.endAssociation(errHeartbeatTimeout)
			return
		}
		l.heartbeatAt = now + l.cfg.HeartbeatInterval
		l.send(BEAT)
	}
}

func (l *Link) send(t Type, params ...Param) {
	if len(l.Out) > l.cfg.MaxUnsentBytes {
		l.endAssociation(errSendBufferFull)
		return
	}
	l.Stats.Out++
	l.Out = Append(l.Out, t, params...)
}

func (l *Link) sendError(code uint32) {
	l.Stats.ErrorsSent++
	l.send(ERR, Uint32Param(TagErrorCode, code))
}

// sendRequest sends a request, which Advance repeats until ack arrives.
func (l *Link) sendRequest(now time.Duration, t, ack Type) {
	l.pendingRequest, l.awaitedAck, l.retries, l.repeatAt = t, ack, 0, now+l.cfg.AckTimeout
	l.send(t, l.requestParams(t)...)
}

func (l *Link) requestParams(t Type) (p []Param) {
	switch t {
	case ASPUP:
		if l.cfg.ASPIdentifier != 0 {
			p = append(p, Uint32Param(TagASPIdentifier, l.cfg.ASPIdentifier))
		}
	case ASPAC:
		p = append(p, Uint32Param(TagTrafficMode, l.cfg.Mode))
		fallthrough
	case ASPIA:
		if l.cfg.RoutingContext != 0 {
			p = append(p, Uint32Param(TagRoutingContext, l.cfg.RoutingContext))
		}
	}
	return p
}

func (l *Link) emit(e Event) { l.Events = append(l.Events, e) }

func (l *Link) endAssociation(err error) {
	if l.closed {
		return
	}
	l.setState(Down)
	l.closed, l.repeatAt = true, 0
	l.emit(Event{Kind: AssociationDown, Err: err})
}

// setState changes the state of the ASP and reports when traffic may start or must stop.
func (l *Link) setState(s State) {
	previous := l.state
	l.state = s
	switch {
	case previous != Active && s == Active:
		l.emit(Event{Kind: Activated})
	case previous == Active && s != Active:
		l.emit(Event{Kind: Deactivated})
	}
}

func (l *Link) handleMessage(now time.Duration, b []byte) {
	l.Stats.In++
	m := &l.msg
	if err := Parse(b, m); err != nil {
		code := CodeInvalidParameterValue
		if err == ErrVersion {
			code = CodeInvalidVersion
		}
		l.sendError(code)
		return
	}
	if l.repeatAt != 0 && m.Type == l.awaitedAck {
		l.repeatAt = 0
		l.handleAck(now)
		return
	}
	switch m.Type {
	case DATA:
		l.handleData(m)
	case BEAT:
		l.send(BEATAck, m.Params...)
	case ASPUP, ASPAC, ASPIA, ASPDN:
		l.handleRequest(m)
	case DUNA, DAVA, DUPU, SCON, DRST:
		l.handleDestinationStatus(m)
	case DAUD: // only this process can be reached here, so every audited destination is reported as available
		l.send(DAVA, m.Params...)
	case BEATAck, NTFY, ERR, ASPUPAck, ASPACAck, ASPIAAck, ASPDNAck:
	default:
		l.Stats.Unknown++
		if m.Type.Class > ClassASPTM {
			l.sendError(CodeUnsupportedClass)
		} else {
			l.sendError(CodeUnsupportedType)
		}
	}
}

// handleAck continues after the peer has acknowledged the pending request.
func (l *Link) handleAck(now time.Duration) {
	switch l.awaitedAck {
	case ASPUPAck:
		l.setState(Inactive)
		l.sendRequest(now, ASPAC, ASPACAck)
	case ASPACAck:
		l.setState(Active)
	case ASPIAAck:
		l.setState(Inactive)
		l.sendRequest(now, ASPDN, ASPDNAck)
	case ASPDNAck:
		l.endAssociation(errStopped)
	}
}

// handleRequest handles a request from the peer that opened the connection.
func (l *Link) handleRequest(m *Message) {
	if l.initiator {
		l.sendError(CodeUnexpectedMessage)
		return
	}
	if rc, ok := m.Uint(TagRoutingContext); ok && l.cfg.RoutingContext != 0 && rc != l.cfg.RoutingContext {
		l.sendError(CodeInvalidRoutingContext)
		return
	}
	switch m.Type {
	case ASPUP:
		l.peerASP, _ = m.Uint(TagASPIdentifier)
		l.setState(Inactive) // even if the ASP is active: the peer has restarted (4.3.4.1)
		l.send(ASPUPAck)
		l.send(NTFY, Uint32Param(TagStatus, StatusASInactive))
	case ASPAC:
		if l.state == Down {
			l.sendError(CodeUnexpectedMessage)
			return
		}
		if mode, ok := m.Uint(TagTrafficMode); ok && mode != l.cfg.Mode {
			l.sendError(CodeUnsupportedTrafficMode)
			return
		}
		l.send(ASPACAck, m.Params...)
		l.send(NTFY, Uint32Param(TagStatus, StatusASActive))
		l.setState(Active)
	case ASPIA:
		l.send(ASPIAAck)
		l.setState(min(l.state, Inactive))
	case ASPDN:
		l.send(ASPDNAck)
		l.setState(Down)
	}
}

func (l *Link) handleData(m *Message) {
	if l.state != Active {
		l.sendError(CodeUnexpectedMessage)
		return
	}
	if rc, ok := m.Uint(TagRoutingContext); ok && l.cfg.RoutingContext != 0 && rc != l.cfg.RoutingContext {
		l.sendError(CodeInvalidRoutingContext)
		return
	}
	d, err := ParseData(m)
	if err != nil {
		l.sendError(CodeMissingParameter)
		return
	}
	d.Payload = append([]byte(nil), d.Payload...) // the stream reuses its buffer before the event is taken
	l.emit(Event{Kind: Received, Data: d})
}

// handleDestinationStatus reports which destinations can be reached. DUPU, an unavailable user part, counts as an
// unavailable destination; congestion (SCON) and restriction (DRST) are ignored.
func (l *Link) handleDestinationStatus(m *Message) {
	pcs := m.Param(TagAffectedPC)
	for ; len(pcs) >= 4; pcs = pcs[4:] {
		pc := uint32(pcs[1])<<16 | uint32(pcs[2])<<8 | uint32(pcs[3])
		switch m.Type {
		case DUNA, DUPU:
			l.emit(Event{Kind: DestinationUnavailable, PointCode: pc})
		case DAVA:
			l.emit(Event{Kind: DestinationAvailable, PointCode: pc})
		}
	}
}

// linkError is the reason of an AssociationDown event.
type linkError string

func (e linkError) Error() string { return "m3ua: " + string(e) }

const (
	errNoAck            linkError = "no acknowledgement from the peer after the last retry"
	errHeartbeatTimeout linkError = "nothing received from the peer for two heartbeat intervals"
	errSendBufferFull   linkError = "send buffer full: the peer does not read"
	errStopped          linkError = "ASP taken out of service"
)
