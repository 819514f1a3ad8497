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

// collector implements prometheus.Collector. Each scrape reads all values in one call on the loop; nothing is cached
// between scrapes.
type collector struct{ director *Director }

// desc describes a metric; its name is prefixed. Names, help texts, labels and label values are external names, also
// where the code has another word: orders are requests, troubles are incidents, boxes are media nodes.
func desc(name, help string, labels ...string) *prometheus.Desc {
	return prometheus.NewDesc("headmill_"+name, help, labels, nil)
}

var (
	descRequests  = desc("orders_total", "Requests for sessions, by how they were answered.", "result")
	descAttempts  = desc("attempts_total", "Set-ups sent to boxes.")
	descIncidents = desc("troubles_total",
		"Sessions lost with a box, late words, sessions ended as orphans, slow readers cut.", "kind")
	descReports     = desc("reports_total", "Players' reports, by what became of them.", "verdict")
	descSessions    = desc("sessions", "Sessions in the table, by state.", "state")
	descMemory      = desc("memory_used", "What is in use by purpose, in its own unit.", "purpose")
	descMemoryLimit = desc("memory_cap", "The cap of each purpose; 0 is none.", "purpose")
	descDenied      = desc("memory_denied_total", "How often a cap was met.", "purpose")
	descLoad        = desc("load", "The director's own load over its limits.")
	descWeight      = desc("weight", "What balancers are told.")
	descFinding     = desc("finding", "1 for each finding that holds.", "dimension", "name")
	descNodes       = desc("boxes", "Boxes on the believed list.")
	descHistory     = desc("history_rows_total", "Rows of the history, by what became of them.", "what")
	descTenantUsage = desc("brand_held",
		"The larger part, of rate or places, that a brand holds of this director's room.", "brand")
)

// Describe sends nothing, which makes the collector unchecked: its metrics depend on settings and on what happens.
func (collector) Describe(chan<- *prometheus.Desc) {}

// Collect sends a snapshot of all metrics. It fails if the loop does not answer within a second.
func (c collector) Collect(ch chan<- prometheus.Metric) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	list, err := runOnLoop(ctx, c.director, func() ([]prometheus.Metric, error) { return c.director.snapshot(), nil })
	if err != nil {
		ch <- prometheus.NewInvalidMetric(descLoad, fmt.Errorf("the loop did not answer in a second: %w", err))
		return
	}
	for _, m := range list {
		ch <- m
	}
}

// snapshot returns the current value of all metrics. It must be called on the loop's goroutine.
func (d *Director) snapshot() (out []prometheus.Metric) {
	count := func(desc *prometheus.Desc, v uint64, labels ...string) {
		out = append(out, prometheus.MustNewConstMetric(desc, prometheus.CounterValue, float64(v), labels...))
	}
	gauge := func(desc *prometheus.Desc, v float64, labels ...string) {
		out = append(out, prometheus.MustNewConstMetric(desc, prometheus.GaugeValue, v, labels...))
	}
	st := &d.stats
	for name, value := range map[string]uint64{
		"played":    st.Played,
		"refused":   st.Refused,
		"failed":    st.Failed,
		"elsewhere": st.Redirected,
		"denied":    st.Denied,
	} {
		count(descRequests, value, name)
	}
	count(descAttempts, st.Attempts)
	for name, value := range map[string]uint64{
		"lost":        st.LostSessions,
		"late":        st.LateSuccesses,
		"orphan":      st.EndedOrphans,
		"slow_reader": st.SlowReaders,
	} {
		count(descIncidents, value, name)
	}
	for v, n := range d.quality.tracker.Counts() {
		count(descReports, n, v.String())
	}
	count(descReports, st.ReportsDropped, "dropped")
	states := map[sessionState]int{}
	for _, s := range d.sessions {
		states[s.state]++
	}
	for state, name := range map[sessionState]string{
		sessionPending: "asked",
		sessionPlaying: "plays",
		sessionEnded:   "finished",
	} {
		gauge(descSessions, float64(states[state]), name)
	}
	for _, p := range limits.Resources() {
		a := d.quotas.Usage(p)
		gauge(descMemory, float64(a.Used), p.String())
		gauge(descMemoryLimit, float64(a.Limit), p.String())
		count(descDenied, a.Denied, p.String())
	}
	gauge(descLoad, d.admission.Load())
	gauge(descWeight, float64(d.admission.Weight()))
	gauge(descNodes, float64(d.nodeList.Len()))
	for name, share := range d.admission.TenantUsage() {
		gauge(descTenantUsage, share, name)
	}
	for _, f := range d.quality.tracker.Findings() {
		gauge(descFinding, 1, f.Dim.String(), d.quality.groupNames[f.GroupKey])
	}
	if d.History != nil {
		written, dropped := d.History.Counts()
		count(descHistory, written, "written")
		count(descHistory, dropped, "dropped")
	}
	return out
}

// ServeMetrics serves /metrics (Prometheus text format and OpenMetrics) until stop is called. It returns the address.
func (d *Director) ServeMetrics(addr string) (at string, stop func(), err error) {
	ln, err := net.Listen("tcp4", addr)
	if err != nil {
		return "", nil, fmt.Errorf("director: metrics: %w", err)
	}
	reg := prometheus.NewRegistry()
	reg.MustRegister(collector{d}, collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", promhttp.HandlerFor(reg, promhttp.HandlerOpts{
		MaxRequestsInFlight: 4,
		Timeout:             5 * time.Second,
		EnableOpenMetrics:   true,
	}))
	s := &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}
	go s.Serve(&boundedListener{Listener: ln, maxConns: d.descriptors.Operators})
	return ln.Addr().String(), func() { s.Close() }, nil
}
