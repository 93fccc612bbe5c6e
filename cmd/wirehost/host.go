package main

import (
	"bufio"
	"fmt"
	"io"
	"time"

	"pipitring/decide"
	"pipitring/internal/wire"
)

// instance is the decision module of one proxy, with the names of the values in the load reports that it gets.
type instance struct {
	controller   *decide.Controller
	reportFields []string
}

// host holds the instances of this process by proxy. They share only the numbered tables of list entries.
type host struct {
	instances map[uint32]*instance
	tables    map[uint16][]wire.Entry
}

func newHost() *host {
	return &host{instances: map[uint32]*instance{}, tables: map[uint16][]wire.Entry{}}
}

// handleFrame reads the frame of one batch and writes its reply. done is true at the end of input.
func (h *host) handleFrame(r io.Reader, w *bufio.Writer) (done bool, err error) {
	b, err := wire.ReadBatch(r)
	if err == io.EOF {
		return true, nil
	}
	if err != nil {
		return false, err
	}
	actions, err := h.handleBatch(b)
	if err != nil {
		return false, err
	}
	reply, err := wire.AppendReply(nil, actions)
	if err != nil {
		return false, fmt.Errorf("reply: %w", err)
	}
	if _, err := w.Write(reply); err != nil {
		return false, fmt.Errorf("reply: %w", err)
	}
	if err := w.Flush(); err != nil {
		return false, fmt.Errorf("reply: %w", err)
	}
	return false, nil
}

// handleBatch passes the events to their instances in order and returns all resulting actions.
func (h *host) handleBatch(b wire.Batch) ([]wire.Action, error) {
	var out []wire.Action
	now := wire.Seconds(b.Clock)
	for i := range b.Events {
		e := &b.Events[i]
		switch e.Op {
		case wire.OpTable:
			h.tables[e.Buffer] = e.Elements
		case wire.OpShutdown:
			delete(h.instances, e.Proxy)
			out = withoutProxy(out, e.Proxy)
		case wire.OpHello:
			settings, err := wire.ParseSettings(e.Blob)
			if err != nil {
				return nil, fmt.Errorf("record %d: proxy %d: %w", i, e.Proxy, err)
			}
			h.instances[e.Proxy] = &instance{decide.New(settings.Settings, e.Entropy), settings.ReportFields}
		default:
			if inst := h.instances[e.Proxy]; inst != nil {
				out = h.handleEvent(inst, now, e, out)
			}
		}
	}
	return out, nil
}

// handleEvent passes one event to its instance and appends the resulting actions to out. If the instance panics, an
// OpPanic action is appended and the instance is removed.
func (h *host) handleEvent(inst *instance, now time.Duration, e *wire.Event, out []wire.Action) (res []wire.Action) {
	defer func() {
		if p := recover(); p != nil {
			delete(h.instances, e.Proxy)
			res = append(out, wire.Action{Op: wire.OpPanic, Proxy: e.Proxy, Blob: fmt.Appendf(nil, "%v", p)})
		}
	}()
	ev := toEvent(e, inst.reportFields, h.tables)
	if ev == nil {
		return out
	}
	for _, a := range inst.controller.Feed(now, ev) {
		out = append(out, toAction(e.Proxy, a))
	}
	return out
}

// withoutProxy removes the actions of a proxy.
func withoutProxy(actions []wire.Action, proxy uint32) []wire.Action {
	remaining := actions[:0]
	for _, a := range actions {
		if a.Proxy != proxy {
			remaining = append(remaining, a)
		}
	}
	return remaining
}
