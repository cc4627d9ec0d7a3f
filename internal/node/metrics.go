package node

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"persimmoncross"
	"persimmoncross/core/state/settings"
	"persimmoncross/io/transport/inbound"
	"persimmoncross/io/transport/socket"
)

// percentiles are the percentiles reported of each histogram.
var percentiles = []float64{0.5, 0.95, 0.99}

// MetricsPath is where a process serves its metrics.
const MetricsPath = "/metrics"

// WriteMetrics writes one line per metric: the name, a space and the value.
func WriteMetrics(w io.Writer, registry metrics.Registry) {
	var lines []string
	add := func(name string, value any) { lines = append(lines, fmt.Sprintf("%s %v", name, value)) }
	registry.Each(func(name string, m any) {
		switch m := m.(type) {
		case metrics.Counter:
			add(name, m.Count())
		case metrics.Gauge:
			add(name, m.Value())
		case metrics.Histogram:
			h := m.Snapshot()
			add(name+".count", h.Count())
			for i, v := range h.Percentiles(percentiles) {
				add(fmt.Sprintf("%s.p%.0f", name, 100*percentiles[i]), int64(v))
			}
		}
	})
	slices.Sort(lines)
	io.WriteString(w, strings.Join(lines, "\n")+"\n")
}

// ServeMetrics serves the registry until the context ends, if the site file sets an address for
// it. A failure is logged and does not affect requests.
func (e *Entry) ServeMetrics(ctx context.Context) {
	if e.Site.Metrics == nil {
		return
	}
	if err := serveMetrics(ctx, e.Site, e.Metrics, e.Clock, e.Log); err != nil {
		e.Log.Error().Err(err).Msg("failed to serve metrics")
	}
}

// ServeMetrics serves the registry until the context ends, if the site file sets an address
// for it.
func (c *Controller) ServeMetrics(ctx context.Context) {
	if c.Site.Metrics == nil {
		return
	}
	if err := serveMetrics(ctx, c.Site, c.Metrics, c.Clock, c.Log); err != nil {
		c.Log.Error().Err(err).Msg("failed to serve metrics")
	}
}

func serveMetrics(ctx context.Context, site *settings.Site, registry metrics.Registry, clock persimmoncross.Clock, log zerolog.Logger) error {
	listener, err := socket.ListenUnread(maxUnreadBytes).Listen(ctx, "tcp", site.Metrics.String())
	if err != nil {
		return newError("serve metrics", StartFailed, err)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+MetricsPath, func(w http.ResponseWriter, _ *http.Request) { WriteMetrics(w, registry) })
	server := newServer(inbound.WithWriteLimit(mux))
	newConnections(metricsPart, site, clock, registry, log).Bind(server)
	stop := context.AfterFunc(ctx, func() { server.Close() })
	defer stop()
	if err := server.Serve(listener); ctx.Err() == nil {
		return newError("serve metrics", StartFailed, err)
	}
	return nil
}

// CountRefusal counts a refusal by its code, and by whether anything was executed.
func (e *Entry) CountRefusal(r *persimmoncross.Refusal) {
	metrics.GetOrRegisterCounter("refused."+string(r.Code)+"."+string(r.Run), e.Metrics).Inc(1)
}
