// Package coordinator decodes the platform's exchange list: the events in the snapshot that is part of the
// configuration, and later ones in frames from the coordinator. Events are numbered from 1. On a new connection the
// client resumes after the last event that it has.
package coordinator

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"strconv"
	"strings"

	"pipitring/decide"
)

// Frame layout. All numbers are big-endian.
const (
	lengthSize = 4                            // bytes of the length field
	headerSize = 9                            // index (8 bytes) and kind (1 byte); both are counted by the length field
	recordSize = 27                           // bytes of one record, which encodes one entry
	maxFrame   = headerSize + recordSize*4096 // largest value of the length field that is accepted
)

// Frame kinds.
const (
	kindHeartbeat = iota // no event
	kindFull             // the whole list
	kindChanges          // changed entries
)

// Errors of Decoder.Push. After either, the connection must be closed.
var (
	// ErrInvalidFrame means that the stream cannot be decoded any further.
	ErrInvalidFrame = errors.New("coordinator: frame with invalid length, kind or state")
	// ErrMissingEvents means that events between the last one and a frame of changes are missing.
	ErrMissingEvents = errors.New("coordinator: gap in the event indexes before this frame")
)

// Entry is the entry of one switch on the exchange list.
type Entry struct {
	ID             uint32
	Addr           netip.AddrPort
	ExchangeNumber int // exchange number
	Zone           int // index of a zone name in the settings; -1 if it is not there
	Phase          decide.Phase
	Started        int64 // Unix milliseconds; 0 if the switch started long ago
}

// Event is one numbered change of the exchange list.
type Event struct {
	Index   uint64
	Full    bool // Entries is the whole list; otherwise it has only the entries that changed
	Entries []Entry
}

// ParseID parses the text form of a switch's ID: "s-" and 8 hex digits.
func ParseID(s string) (uint32, error) {
	hex, ok := strings.CutPrefix(s, "s-")
	n, err := strconv.ParseUint(hex, 16, 32)
	if !ok || err != nil || len(hex) != 8 {
		return 0, fmt.Errorf("switch ID %q is not s- followed by 8 hex digits", s)
	}
	return uint32(n), nil
}

// snapshotJSON is the JSON form of the list in the configuration.
type snapshotJSON struct {
	Index   uint64 `json:"index"`
	Updates []struct {
		Index     uint64 `json:"index"`
		Endpoints struct {
			Reset     bool `json:"reset"`
			Instances []struct {
				InstanceID  string `json:"instanceId"`
				HostPort    string `json:"hostPort"`
				Zone        string `json:"zone"`
				Cell        int    `json:"cell"`
				Lifecycle   string `json:"lifecycle"`
				StartedAtMs int64  `json:"startedAtMs"`
			} `json:"instances"`
		} `json:"endpoints"`
	} `json:"updates"`
}

var phaseByLifecycle = map[string]decide.Phase{"Ready": decide.Ready, "Terminating": decide.Draining, "Gone": decide.Removed}

// ParseSnapshot parses the snapshot of the exchange list in the configuration. It returns its events and the index of
// the last one. The first event always counts as the whole list. Zones are the zone names in the settings.
func ParseSnapshot(text []byte, zones []string) (events []Event, last uint64, err error) {
	var snapshot snapshotJSON
	if err := json.Unmarshal(text, &snapshot); err != nil {
		return nil, 0, fmt.Errorf("known: %w", err)
	}
	for i, update := range snapshot.Updates {
		ev := Event{Index: update.Index, Full: update.Endpoints.Reset || i == 0}
		for j, instance := range update.Endpoints.Instances {
			id, err := ParseID(instance.InstanceID)
			addr, addrErr := netip.ParseAddrPort(instance.HostPort)
			phase, ok := phaseByLifecycle[instance.Lifecycle]
			if err = errors.Join(err, addrErr); err != nil || !ok {
				return nil, 0, fmt.Errorf("known.updates[%d].endpoints.instances[%d]: lifecycle %q: %w", i, j, instance.Lifecycle, err)
			}
			ev.Entries = append(ev.Entries, Entry{ID: id, Addr: addr, ExchangeNumber: instance.Cell, Phase: phase,
				Zone: slices.Index(zones, instance.Zone), Started: instance.StartedAtMs})
		}
		events = append(events, ev)
		last = max(last, update.Index)
	}
	return events, max(last, snapshot.Index), nil
}

// Decoder decodes the byte stream of a connection to the coordinator. It is used for one connection after the other,
// with Reset in between, and stores the last index across them.
type Decoder struct {
	LastIndex uint64 // index of the last event decoded; the next connection resumes after it
	// AllowGap makes Push accept the next gap in the indexes. The client sets it when the same events are missing again
	// after a reconnect. Decoding an event clears it.
	AllowGap bool
	buf      []byte
}

// Hello returns the bytes to send first on a connection: the last index, 8 bytes.
func (d *Decoder) Hello() []byte { return binary.BigEndian.AppendUint64(nil, d.LastIndex) }

// Push decodes the next bytes of the stream and returns the events that are complete and newer than LastIndex. Events
// returned together with an error are valid.
func (d *Decoder) Push(b []byte) (events []Event, err error) {
	d.buf = append(d.buf, b...)
	for len(d.buf) >= lengthSize {
		n := int(binary.BigEndian.Uint32(d.buf))
		if n < headerSize || n > maxFrame {
			return events, ErrInvalidFrame
		}
		if len(d.buf) < lengthSize+n {
			break
		}
		ev, isNew, err := d.decodeFrame(d.buf[lengthSize : lengthSize+n])
		if err != nil {
			return events, err
		}
		d.buf = d.buf[lengthSize+n:]
		if isNew {
			events = append(events, ev)
		}
	}
	if len(d.buf) == 0 {
		d.buf = nil
	}
	return events, nil
}

// Reset discards an incomplete frame after the connection has ended.
func (d *Decoder) Reset() { d.buf = nil }

// decodeFrame decodes a frame without its length. IsNew is false for a heartbeat and for an event that was decoded
// before.
func (d *Decoder) decodeFrame(b []byte) (ev Event, isNew bool, err error) {
	index, kind, records := binary.BigEndian.Uint64(b), b[8], b[headerSize:]
	switch {
	case kind > kindChanges || kind != kindHeartbeat && len(records)%recordSize != 0:
		return ev, false, ErrInvalidFrame
	case kind == kindHeartbeat || index <= d.LastIndex:
		return ev, false, nil
	case kind == kindChanges && index > d.LastIndex+1 && !d.AllowGap:
		return ev, false, ErrMissingEvents
	}
	ev = Event{Index: index, Full: kind == kindFull}
	for ; len(records) > 0; records = records[recordSize:] {
		e, err := parseRecord(records)
		if err != nil {
			return ev, false, err
		}
		ev.Entries = append(ev.Entries, e)
	}
	d.LastIndex, d.AllowGap = index, false
	return ev, true, nil
}

var phaseByState = [...]decide.Phase{decide.Ready, decide.Draining, decide.Removed}

// parseRecord decodes the first record of b: ID, address, port, state, zone, kind, cell, weight and start time. Kind
// and weight are not used.
func parseRecord(b []byte) (Entry, error) {
	if int(b[10]) >= len(phaseByState) {
		return Entry{}, ErrInvalidFrame
	}
	return Entry{ID: binary.BigEndian.Uint32(b),
		Addr:           netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[4:8])), binary.BigEndian.Uint16(b[8:])),
		Phase:          phaseByState[b[10]],
		Zone:           int(b[11]),
		ExchangeNumber: int(binary.BigEndian.Uint16(b[13:])),
		// b[15:19] is the weight.
		Started: int64(binary.BigEndian.Uint64(b[19:])),
	}, nil
}

// AppendFrame appends the frame of an event to b, in the coordinator's encoding.
func AppendFrame(b []byte, ev Event) []byte {
	kind := byte(kindChanges)
	if ev.Full {
		kind = kindFull
	}
	b = appendHeader(b, len(ev.Entries)*recordSize, ev.Index, kind)
	for _, e := range ev.Entries {
		b = binary.BigEndian.AppendUint32(b, e.ID)
		addr := e.Addr.Addr().As4()
		b = append(b, addr[:]...)
		b = binary.BigEndian.AppendUint16(b, e.Addr.Port())
		b = append(b, byte(slices.Index(phaseByState[:], e.Phase)), byte(e.Zone), 0)
		b = binary.BigEndian.AppendUint16(b, uint16(e.ExchangeNumber))
		b = binary.BigEndian.AppendUint32(b, 1000)
		b = binary.BigEndian.AppendUint64(b, uint64(e.Started))
	}
	return b
}

// AppendHeartbeat appends a frame without an event, as the coordinator sends one every second.
func AppendHeartbeat(b []byte, last uint64) []byte { return appendHeader(b, 0, last, kindHeartbeat) }

func appendHeader(b []byte, payload int, index uint64, kind byte) []byte {
	b = binary.BigEndian.AppendUint32(b, uint32(headerSize+payload))
	b = binary.BigEndian.AppendUint64(b, index)
	return append(b, kind)
}
