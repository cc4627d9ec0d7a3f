package node

import (
	"strings"
	"testing"

	"github.com/rcrowley/go-metrics"
)

func TestWriteMetrics(t *testing.T) {
	registry := metrics.NewRegistry()
	metrics.GetOrRegisterCounter("relay.refused", registry).Inc(3)
	h := metrics.GetOrRegisterHistogram("relay.head", registry, metrics.NewUniformSample(100))
	for i := range 100 {
		h.Update(int64(i))
	}
	var b strings.Builder
	WriteMetrics(&b, registry)
	const want = "relay.head.count 100\nrelay.head.p50 49\nrelay.head.p95 94\nrelay.head.p99 98\nrelay.refused 3\n"
	if b.String() != want {
		t.Errorf("got %q, want %q", b.String(), want)
	}
}
