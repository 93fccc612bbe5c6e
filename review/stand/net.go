//go:build review

// Command stand runs one case of the review: it starts the proxy with the command of the deploy file and plays the
// coordinator, the switches and the callers around it, on loopback. It uses none of the project's packages.
package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"sync"
	"time"
)

// message is one JSON line of the platform's protocol.
type message struct {
	Type        string            `json:"t"`
	Ref         string            `json:"ref,omitempty"`
	Fields      map[string]string `json:"f"`
	Cause       *int              `json:"c,omitempty"`
	Description *string           `json:"d,omitempty"`
}

func (m *message) cause() int {
	if m.Cause == nil {
		return 0
	}
	return *m.Cause
}

func (m message) line() []byte {
	if m.Fields == nil {
		m.Fields = map[string]string{}
	}
	b, err := json.Marshal(m)
	if err != nil {
		panic(err)
	}
	return append(b, '\n')
}

func newDown(ref string, cause int) message { return message{Type: "down", Ref: ref, Cause: &cause} }

// peer is one connection that speaks JSON lines.
type peer struct {
	net.Conn
	in *bufio.Reader
	mu sync.Mutex
}

func newPeer(c net.Conn) *peer { return &peer{Conn: c, in: bufio.NewReaderSize(c, 32<<10)} }

func (p *peer) send(m message) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, err := p.Write(m.line())
	return err
}

func (p *peer) receive() (m message, err error) {
	line, err := p.in.ReadSlice('\n')
	if err != nil {
		return m, err
	}
	return m, json.Unmarshal(line, &m)
}

// reset ends the connection with a TCP reset.
func (p *peer) reset() {
	_ = p.Conn.(*net.TCPConn).SetLinger(0)
	_ = p.Close()
}

// record is the file of what was sent, answered and run, with the seconds since the start.
type record struct {
	mu    sync.Mutex
	out   *bufio.Writer
	start time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{out: bufio.NewWriter(f), start: time.Now()}, nil
}

func (r *record) at(t time.Time) float64 { return t.Sub(r.start).Seconds() }

func (r *record) log(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f "+format+"\n", append([]any{time.Since(r.start).Seconds()}, args...)...)
	_ = r.out.Flush()
}

// say writes to the record and to standard output.
func (r *record) say(format string, args ...any) {
	r.log(format, args...)
	fmt.Printf(format+"\n", args...)
}
