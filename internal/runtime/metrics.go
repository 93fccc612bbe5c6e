package runtime

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.uber.org/zap"

	"pipitring/internal/call"
	"pipitring/internal/node"
	"pipitring/internal/store"
)

// metrics is the collector of the router's metrics. Values are read on the event loop at each scrape; only set-up times and
// list errors are recorded as they occur.
type metrics struct {
	s          *Server
	dropped    uint64 // datagrams that the socket did not accept; used on the event loop only
	setUp      *prometheus.HistogramVec
	listErrors prometheus.Counter
	registry   *prometheus.Registry
}

var (
	descCalls             = desc("calls", "Calls taken and not finished.")
	descLegs              = desc("legs", "Legs that some end still holds.")
	descDialogs           = desc("iax_dialogs", "IAX2 dialogs that hold a call number.")
	descEnds              = desc("calls_ended_total", "Calls by how they ended for their caller.", "end")
	descOffered           = desc("calls_offered_total", "Calls taken.")
	descCallsRejected     = desc("calls_turned_total", "Calls rejected before they were taken.")
	descAttempts          = desc("attempts_total", "Set-ups sent.")
	descOverdue           = desc("calls_overdue_total", "Calls answered by the watchdog: a defect.")
	descWithdrawn         = desc("attempts_withdrawn_total", "Set-ups called off at the end of a drain's grace.")
	descFaults            = desc("action_faults_total", "Actions of the module that could not be carried out: a defect.")
	descGroupFree         = desc("group_circuits_free", "Free circuits of a trunk group.", "to")
	descGroupSize         = desc("group_circuits", "Circuits of a trunk group.", "to")
	descDatagramsIn       = desc("iax_datagrams_in_total", "Datagrams received.")
	descDatagramsOut      = desc("iax_datagrams_out_total", "Datagrams sent.")
	descRetransmits       = desc("iax_repeats_total", "Frames sent again.")
	descMalformed         = desc("iax_malformed_total", "Datagrams that could not be read.")
	descDialogsRejected   = desc("iax_rejected_total", "Openings rejected without a dialog.")
	descStray             = desc("iax_stray_total", "Frames of unknown dialogs.")
	descDatagramsDropped  = desc("socket_dropped_total", "Datagrams that the socket did not take.")
	descAssoc             = desc("m3ua_associations", "Active associations to an exchange.", "to")
	descCircuitsBusy      = desc("isup_circuits_busy", "Circuits that are not idle.", "to")
	descCircuitsIdle      = desc("isup_circuits_idle", "Circuits that a call may seize.", "to")
	descGlares            = desc("isup_glares_total", "Circuits seized by both ends.", "to")
	descAlarms            = desc("isup_alarms_total", "Alarms to maintenance; each is a line in the log.")
	descMessagesUnsent    = desc("isup_unsent_total", "Messages that no association could take.")
	descSetupsCut         = desc("isup_setups_cut_total", "Set-ups ended because the last association was lost.")
	descUnknownPeers      = desc("m3ua_strangers_total", "Messages or connections of ends that no group leads to.")
	descListAge           = desc("list_age_seconds", "Since the exchange list last came; -1 is never.")
	descDistrustedStarts  = desc("list_starts_mistrusted_total", "Starts on the exchange list that contradict this router's clock.")
	descAnswersNotDurable = desc("answers_unproven_total", "Final answers that went out before their record was durable.")
	descRecordsState      = desc("records_state", "State of the records' disk: 0 healthy, 1 slow, 2 full, 3 failed.")
	descRecordsAtRisk     = desc("records_at_risk", "Records that a crash now would lose.")
	descRecordsLost       = desc("records_lost_total", "Records given up because too many waited, or the disk had failed.")
	descRecordsLast       = desc("records_last_number", "Number of the newest durable record.")
	descRecordsCommits    = desc("records_commits_total", "Batches of records made durable.")
	descRecordsBytes      = desc("records_bytes", "Size of the records on disk.")
	descRecordsExported   = desc("records_exported_number", "Number of the last record that an export has confirmed.", "export")
	descExportFailures    = desc("records_export_failures_total", "Tries of an export that came to nothing.", "export")
	descUp                = desc("loop_up", "1 while the event loop answers.")
)

// desc describes a metric with the router's name prefix.
func desc(name, help string, labels ...string) *prometheus.Desc {
	return prometheus.NewDesc("pipitring_"+name, help, labels, nil)
}

func newMetrics(s *Server) *metrics {
	m := &metrics{s: s, registry: prometheus.NewRegistry(),
		setUp: prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: "pipitring_setup_seconds",
			Help: "From offer to answer, by class.", Buckets: prometheus.ExponentialBuckets(0.001, 2, 14)}, []string{"class"}),
		listErrors: prometheus.NewCounter(prometheus.CounterOpts{Name: "pipitring_list_faults_total",
			Help: "Troubles with the source of the exchange list."})}
	m.registry.MustRegister(m, m.setUp, m.listErrors)
	return m
}

// Describe sends nothing, which makes the collector unchecked: the set of groups changes with the settings.
func (m *metrics) Describe(chan<- *prometheus.Desc) {}

// Collect reads all values on the event loop; loop_up is 0 if the loop does not respond.
func (m *metrics) Collect(ch chan<- prometheus.Metric) {
	var got []prometheus.Metric
	err := m.s.Do(func(n *node.Node, now time.Duration) { got = m.collectNode(n, now) })
	up := 1.0
	if err != nil {
		up = 0
	}
	ch <- prometheus.MustNewConstMetric(descUp, prometheus.GaugeValue, up)
	for _, g := range got {
		ch <- g
	}
}

// collectNode returns the node's metrics; it runs on the event loop.
func (m *metrics) collectNode(n *node.Node, now time.Duration) (out []prometheus.Metric) {
	gauge := func(d *prometheus.Desc, v float64, labels ...string) {
		out = append(out, prometheus.MustNewConstMetric(d, prometheus.GaugeValue, v, labels...))
	}
	count := func(d *prometheus.Desc, v uint64, labels ...string) {
		out = append(out, prometheus.MustNewConstMetric(d, prometheus.CounterValue, float64(v), labels...))
	}
	core, iax := &n.Core.Stats, &n.IAX().Stats
	gauge(descCalls, float64(n.Core.OpenCalls()))
	gauge(descLegs, float64(n.Core.Legs()))
	gauge(descDialogs, float64(n.IAX().DialogCount()))
	for e := call.Answered; e <= call.Abandoned; e++ {
		count(descEnds, core.Ends[e], e.String())
	}
	count(descOffered, core.Offered)
	count(descCallsRejected, core.Rejected)
	count(descAttempts, core.Attempts)
	count(descOverdue, core.Overdue)
	count(descWithdrawn, core.Withdrawn)
	count(descFaults, core.ActionFaults)
	for _, g := range n.Core.Groups() {
		gauge(descGroupFree, float64(g.Free()), strconv.Itoa(g.Neighbour()))
		gauge(descGroupSize, float64(g.Size()), strconv.Itoa(g.Neighbour()))
	}
	for _, g := range n.ISUP().GroupStates() {
		to := strconv.Itoa(g.Exchange)
		gauge(descAssoc, float64(g.Associations), to)
		gauge(descCircuitsBusy, float64(g.Busy), to)
		gauge(descCircuitsIdle, float64(g.Idle), to)
		count(descGlares, g.Circuits.DualSeizures, to)
	}
	front := &n.ISUP().Stats
	count(descAlarms, front.Alarms)
	count(descMessagesUnsent, front.Unsent)
	count(descSetupsCut, front.Cut)
	count(descUnknownPeers, front.UnknownPeer)
	count(descDatagramsIn, iax.In)
	count(descDatagramsOut, iax.Out)
	count(descRetransmits, iax.Retransmits)
	count(descMalformed, iax.Malformed)
	count(descDialogsRejected, iax.Rejected)
	count(descStray, iax.Stray)
	count(descDatagramsDropped, m.dropped)
	if m.s.recorder != nil {
		m.collectRecords(gauge, count, core.AnsweredNotDurable)
	}
	count(descDistrustedStarts, n.DistrustedStarts())
	gauge(descListAge, m.s.listAge(now))
	return out
}

// collectRecords reads the metrics of the record store and its exports.
func (m *metrics) collectRecords(gauge func(*prometheus.Desc, float64, ...string),
	count func(*prometheus.Desc, uint64, ...string), answeredNotDurable uint64) {
	st := m.s.recorder.rec.Status()
	count(descAnswersNotDurable, answeredNotDurable)
	gauge(descRecordsState, float64(st.State))
	gauge(descRecordsAtRisk, float64(st.Waiting))
	count(descRecordsLost, st.Lost)
	gauge(descRecordsLast, float64(st.Last))
	count(descRecordsCommits, st.Commits)
	gauge(descRecordsBytes, float64(st.Bytes))
	for _, e := range st.Exports {
		gauge(descRecordsExported, float64(e.LastConfirmed), e.Target)
		count(descExportFailures, e.Failures, e.Target)
	}
}

// listAge returns the time in seconds since the exchange list was last received; -1 before the first one.
func (s *Server) listAge(now time.Duration) float64 {
	at := s.listReceivedAt.Load()
	if at == 0 {
		return -1
	}
	return (now - time.Duration(at)).Seconds()
}

// processRecords stores, counts and logs finished calls, and logs alarms. The logger's sampling limits the lines.
func (s *Server) processRecords(now time.Duration) {
	core := s.node.Core
	if s.recorder != nil {
		s.recorder.submit(now, core.Records)
	}
	for i := range core.Records {
		r := &core.Records[i]
		if r.Kind == call.AnswerRecord {
			continue
		}
		class := s.set.Class[r.Class].Name
		if r.SetupTime > 0 {
			s.metrics.setUp.WithLabelValues(class).Observe(r.SetupTime.Seconds())
		}
		if e := s.log.Check(zap.DebugLevel, "final answer"); e != nil {
			e.Write(zap.Uint32("call", uint32(r.Call)), zap.String("end", r.End.String()), zap.String("class", class),
				zap.Uint8("cause", uint8(r.Cause)), zap.Int("dest", r.Dest), zap.Bool("transit", r.Transit),
				zap.Int("attempts", len(r.Attempts)), zap.Duration("setup", r.SetupTime), zap.Duration("length", r.Duration))
		}
	}
	core.Records = core.Records[:0]
	front := s.node.ISUP()
	for _, a := range front.Alarms {
		s.log.Warn("circuit alarm", zap.Int("exchange", a.Exchange), zap.Uint16("cic", uint16(a.CIC)),
			zap.String("why", a.Text))
	}
	front.Alarms = front.Alarms[:0]
}

// health is the response body of /health.
type health struct {
	OK       bool    `json:"ok"`
	Draining bool    `json:"draining"`
	ListAge  float64 `json:"list_age_s"`
	Calls    int     `json:"calls"`
	Records  string  `json:"records,omitempty"` // state of the record store's disk
	AtRisk   int     `json:"records_at_risk,omitempty"`
	Problem  string  `json:"problem,omitempty"`
}

// health determines the router's health. A router is not OK while its event loop does not respond, it drains, it has no
// exchange list, or the disk of its record store is not healthy.
func (s *Server) health() health {
	h := health{Draining: s.draining.Load()}
	err := s.Do(func(n *node.Node, now time.Duration) { h.Calls, h.ListAge = n.Core.OpenCalls(), s.listAge(now) })
	if s.recorder != nil {
		st := s.recorder.rec.DiskStatus()
		h.Records, h.AtRisk = st.State.String(), st.Waiting
	}
	switch {
	case err != nil:
		h.Problem = err.Error()
	case h.ListAge < 0:
		h.Problem = "no exchange list received yet"
	case h.Draining:
		h.Problem = "draining"
	case h.Records != "" && h.Records != store.Healthy.String():
		h.Problem = "records: the disk is " + h.Records
	default:
		h.OK = true
	}
	return h
}

// serveHTTP serves metrics, health and records until ctx ends, if http.listen is set.
func (s *Server) serveHTTP(ctx context.Context) error {
	if !s.set.HTTP.Listen.IsValid() {
		return nil
	}
	ln, err := net.Listen("tcp", s.set.HTTP.Listen.String())
	if err != nil {
		return fmt.Errorf("http.listen: %w", err)
	}
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", promhttp.HandlerFor(s.metrics.registry, promhttp.HandlerOpts{}))
	if s.recorder != nil {
		mux.HandleFunc("GET /records", s.recorder.serveRecords)
	}
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) {
		h := s.health()
		w.Header().Set("Content-Type", "application/json")
		if !h.OK {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		_ = json.NewEncoder(w).Encode(h) // fails only if the client has disconnected
	})
	srv := &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}
	s.background.Go(func() {
		if err := srv.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
			s.log.Error("http", zap.Error(err))
		}
	})
	s.background.Go(func() {
		<-ctx.Done()
		_ = srv.Close()
	})
	return nil
}
