package director

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"headmill/decide/limits"
)

// collector answers a scrape by asking the loop once; between scrapes nothing is kept twice.
type collector struct{ d *Director }

func desc(name, help string, labels ...string) *prometheus.Desc {
	return prometheus.NewDesc("headmill_"+name, help, labels, nil)
}

var (
	descOrders   = desc("orders_total", "Requests for sessions, by how they were answered.", "result")
	descAttempts = desc("attempts_total", "Set-ups sent to boxes.")
	descTrouble  = desc("troubles_total", "Sessions lost with a box, late words, sessions ended as orphans, slow readers cut.", "kind")
	descReports  = desc("reports_total", "Players' reports, by what became of them.", "verdict")
	descSessions = desc("sessions", "Sessions in the table, by state.", "state")
	descMemory   = desc("memory_used", "What is in use by purpose, in its own unit.", "purpose")
	descCap      = desc("memory_cap", "The cap of each purpose; 0 is none.", "purpose")
	descDenied   = desc("memory_denied_total", "How often a cap was met.", "purpose")
	descSeverity = desc("load", "The director's own load over its limits.")
	descWeight   = desc("weight", "What balancers are told.")
	descFinding  = desc("finding", "1 for each finding that holds.", "dimension", "name")
	descBoxes    = desc("boxes", "Boxes on the believed list.")
	descHistory  = desc("history_rows_total", "Rows of the history, by what became of them.", "what")
	descHeld     = desc("brand_held", "The larger part, of rate or places, that a brand holds of this director's room.", "brand")
)

// Describe sends nothing: what there is depends on settings and on what happens.
func (collector) Describe(chan<- *prometheus.Desc) {}

// Collect takes one picture on the loop.
func (c collector) Collect(ch chan<- prometheus.Metric) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	list, err := ask(ctx, c.d, func() ([]prometheus.Metric, error) { return c.d.picture(), nil })
	if err != nil {
		ch <- prometheus.NewInvalidMetric(descSeverity, fmt.Errorf("the loop did not answer in a second: %w", err))
		return
	}
	for _, m := range list {
		ch <- m
	}
}

func (d *Director) picture() (out []prometheus.Metric) {
	count := func(x *prometheus.Desc, v uint64, labels ...string) {
		out = append(out, prometheus.MustNewConstMetric(x, prometheus.CounterValue, float64(v), labels...))
	}
	gauge := func(x *prometheus.Desc, v float64, labels ...string) {
		out = append(out, prometheus.MustNewConstMetric(x, prometheus.GaugeValue, v, labels...))
	}
	st := &d.stats
	for name, v := range map[string]uint64{"played": st.Played, "refused": st.Refused, "failed": st.Failed, "elsewhere": st.Elsewhere,
		"denied": st.Denied} {
		count(descOrders, v, name)
	}
	count(descAttempts, st.Attempts)
	for name, v := range map[string]uint64{"lost": st.Lost, "late": st.Late, "orphan": st.Orphans, "slow_reader": st.CutSlow} {
		count(descTrouble, v, name)
	}
	for v, n := range d.views.q.Counts() {
		count(descReports, n, v.String())
	}
	count(descReports, st.ReportsDropped, "dropped")
	states := map[sessionState]int{}
	for _, s := range d.sessions {
		states[s.state]++
	}
	for state, name := range map[sessionState]string{asked: "asked", plays: "plays", finished: "finished"} {
		gauge(descSessions, float64(states[state]), name)
	}
	for _, p := range limits.Resources() {
		a := d.accounts.Usage(p)
		gauge(descMemory, float64(a.Used), p.String())
		gauge(descCap, float64(a.Limit), p.String())
		count(descDenied, a.Denied, p.String())
	}
	gauge(descSeverity, d.gate.Load())
	gauge(descWeight, float64(d.gate.Weight()))
	gauge(descBoxes, float64(d.fleet.Len()))
	for name, part := range d.gate.TenantUsage() {
		gauge(descHeld, part, name)
	}
	for _, f := range d.views.q.Findings() {
		gauge(descFinding, 1, f.Dim.String(), d.views.names[f.GroupKey])
	}
	if d.History != nil {
		written, dropped := d.History.Counts()
		count(descHistory, written, "written")
		count(descHistory, dropped, "dropped")
	}
	return out
}

// ServeMetrics answers scrapes at /metrics (Prometheus text and OpenMetrics) until stop is called.
func (d *Director) ServeMetrics(addr string) (at string, stop func(), err error) {
	ln, err := net.Listen("tcp4", addr)
	if err != nil {
		return "", nil, fmt.Errorf("director: metrics: %w", err)
	}
	reg := prometheus.NewRegistry()
	reg.MustRegister(collector{d}, collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", promhttp.HandlerFor(reg, promhttp.HandlerOpts{MaxRequestsInFlight: 4, Timeout: 5 * time.Second,
		EnableOpenMetrics: true}))
	s := &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}
	go s.Serve(ln)
	return ln.Addr().String(), func() { s.Close() }, nil
}
