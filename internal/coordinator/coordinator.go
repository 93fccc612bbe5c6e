// Package coordinator reads the platform's list of switches: the events known at a start, and the frames that bring
// later ones. Events are numbered from 1; a follower goes on after any break from the last number that it has.
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

// Layout of a frame; numbers are big-endian.
const (
	lengthSize = 4
	headSize   = 9 // number and kind, counted by the length
	recordSize = 27
	maxFrame   = headSize + recordSize*4096
)

// Kinds of frame.
const (
	kindNothing = iota
	kindWhole
	kindChanges
)

// Errors of frames: the connection is of no further use.
var (
	ErrInvalidFrame  = errors.New("coordinator: a frame of impossible length, kind or state")
	ErrMissingEvents = errors.New("coordinator: events are missing before this one")
)

// Entry is one switch on the list.
type Entry struct {
	ID      uint32
	Addr    netip.AddrPort
	Number  int // of its exchange
	Zone    int
	Phase   decide.Phase
	Started int64 // Unix milliseconds; 0 is long ago
}

// Event is one numbered change of the list.
type Event struct {
	Index   uint64
	Full    bool // the entries are the whole list
	Entries []Entry
}

// ParseID reads a switch's id as it stands in text: s- and 8 hex digits.
func ParseID(s string) (uint32, error) {
	hex, ok := strings.CutPrefix(s, "s-")
	n, err := strconv.ParseUint(hex, 16, 32)
	if !ok || err != nil || len(hex) != 8 {
		return 0, fmt.Errorf("id %q is not s- and 8 hex digits", s)
	}
	return uint32(n), nil
}

type knownText struct {
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

var lifecycles = map[string]decide.Phase{"Ready": decide.Ready, "Terminating": decide.Draining, "Gone": decide.Removed}

// ParseSnapshot reads the events that a configuration holds; zones are the names in the settings.
func ParseSnapshot(text []byte, zones []string) (events []Event, last uint64, err error) {
	var k knownText
	if err := json.Unmarshal(text, &k); err != nil {
		return nil, 0, fmt.Errorf("known: %w", err)
	}
	for i, u := range k.Updates {
		ev := Event{Index: u.Index, Full: u.Endpoints.Reset || i == 0}
		for j, in := range u.Endpoints.Instances {
			id, err := ParseID(in.InstanceID)
			addr, err2 := netip.ParseAddrPort(in.HostPort)
			phase, ok := lifecycles[in.Lifecycle]
			if err = errors.Join(err, err2); err != nil || !ok {
				return nil, 0, fmt.Errorf("known.updates[%d].endpoints.instances[%d]: lifecycle %q: %w", i, j, in.Lifecycle, err)
			}
			ev.Entries = append(ev.Entries, Entry{ID: id, Addr: addr, Number: in.Cell, Phase: phase,
				Zone: slices.Index(zones, in.Zone), Started: in.StartedAtMs})
		}
		events = append(events, ev)
		last = max(last, u.Index)
	}
	return events, max(last, k.Index), nil
}

// Decoder reads what one connection to the coordinator brings.
type Decoder struct {
	LastIndex uint64 // number of the last event taken; the next connection begins with it
	// AllowGap lets one gap pass: the coordinator was asked again and still has nothing in between.
	AllowGap bool
	buf      []byte
}

// Hello is what a connection begins with.
func (f *Decoder) Hello() []byte { return binary.BigEndian.AppendUint64(nil, f.LastIndex) }

// Push takes the next bytes and returns the events that are complete and new. Events before an error are good.
func (f *Decoder) Push(b []byte) (events []Event, err error) {
	f.buf = append(f.buf, b...)
	for len(f.buf) >= lengthSize {
		n := int(binary.BigEndian.Uint32(f.buf))
		if n < headSize || n > maxFrame {
			return events, ErrInvalidFrame
		}
		if len(f.buf) < lengthSize+n {
			break
		}
		ev, fresh, err := f.frame(f.buf[lengthSize : lengthSize+n])
		if err != nil {
			return events, err
		}
		f.buf = f.buf[lengthSize+n:]
		if fresh {
			events = append(events, ev)
		}
	}
	if len(f.buf) == 0 {
		f.buf = nil
	}
	return events, nil
}

// Reset forgets half a frame: the connection is over.
func (f *Decoder) Reset() { f.buf = nil }

func (f *Decoder) frame(b []byte) (ev Event, fresh bool, err error) {
	number, kind, records := binary.BigEndian.Uint64(b), b[8], b[headSize:]
	switch {
	case kind > kindChanges || kind != kindNothing && len(records)%recordSize != 0:
		return ev, false, ErrInvalidFrame
	case kind == kindNothing || number <= f.LastIndex:
		return ev, false, nil
	case kind == kindChanges && number > f.LastIndex+1 && !f.AllowGap:
		return ev, false, ErrMissingEvents
	}
	ev = Event{Index: number, Full: kind == kindWhole}
	for ; len(records) > 0; records = records[recordSize:] {
		e, err := record(records)
		if err != nil {
			return ev, false, err
		}
		ev.Entries = append(ev.Entries, e)
	}
	f.LastIndex, f.AllowGap = number, false
	return ev, true, nil
}

var states = [...]decide.Phase{decide.Ready, decide.Draining, decide.Removed}

// record reads id, address, port, state, zone, kind, cell, weight and start.
func record(b []byte) (Entry, error) {
	if int(b[10]) >= len(states) {
		return Entry{}, ErrInvalidFrame
	}
	return Entry{ID: binary.BigEndian.Uint32(b),
		Addr:   netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[4:8])), binary.BigEndian.Uint16(b[8:])),
		Phase:  states[b[10]],
		Zone:   int(b[11]),
		Number: int(binary.BigEndian.Uint16(b[13:])),
		// Four bytes of weight lie between; the module has no use for it.
		Started: int64(binary.BigEndian.Uint64(b[19:])),
	}, nil
}

// AppendFrame writes an event as the coordinator does.
func AppendFrame(b []byte, ev Event) []byte {
	kind := byte(kindChanges)
	if ev.Full {
		kind = kindWhole
	}
	b = appendHead(b, len(ev.Entries)*recordSize, ev.Index, kind)
	for _, e := range ev.Entries {
		b = binary.BigEndian.AppendUint32(b, e.ID)
		addr := e.Addr.Addr().As4()
		b = append(b, addr[:]...)
		b = binary.BigEndian.AppendUint16(b, e.Addr.Port())
		b = append(b, byte(slices.Index(states[:], e.Phase)), byte(e.Zone), 0)
		b = binary.BigEndian.AppendUint16(b, uint16(e.Number))
		b = binary.BigEndian.AppendUint32(b, 1000)
		b = binary.BigEndian.AppendUint64(b, uint64(e.Started))
	}
	return b
}

// AppendHeartbeat writes the frame that comes each second.
func AppendHeartbeat(b []byte, last uint64) []byte { return appendHead(b, 0, last, kindNothing) }

func appendHead(b []byte, payload int, number uint64, kind byte) []byte {
	b = binary.BigEndian.AppendUint32(b, uint32(headSize+payload))
	b = binary.BigEndian.AppendUint64(b, number)
	return append(b, kind)
}
