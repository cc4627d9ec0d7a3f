package node

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"persimmoncross"
	"persimmoncross/core/state/register"
)

// BenchmarkList measures the encoding of the list of upstreams: the whole list for a follower
// that starts, and the change of one upstream for a follower that has the list.
func BenchmarkList(b *testing.B) {
	for _, n := range []int{100, 1_000, 4_100} {
		b.Run(fmt.Sprint("upstreams=", n), func(b *testing.B) {
			list := make([]persimmoncross.Upstream, n)
			for i := range list {
				list[i] = persimmoncross.Upstream{
					Name:       fmt.Sprintf("i-%010x", i*2654435761),
					StartedAt:  time.UnixMilli(1_790_000_000_000 + int64(i)),
					Service:    "kaba98a",
					Address:    netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 2, byte(i >> 8), byte(i)}), 8707),
					DataCentre: "sahab",
					Version:    "v1",
					Slots:      12,
					Models:     []string{"daka510000", "rada7437b5", "ravo486f6a"},
				}
			}
			pub := newPublisher(persimmoncross.SystemClock{})
			fullListBytes, changeBytes, largestUpdate := 0, 0, 0
			send := func(s *followerState) (bytes int) {
				for first := true; first || s.hasPending(); first = false {
					u, _ := pub.nextUpdate(s, true, nil)
					bytes += proto.Size(u)
					largestUpdate = max(largestUpdate, proto.Size(u))
				}
				return bytes
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				pub.setList(list, time.Now())
				s := &followerState{}
				fullListBytes = send(s)
				next := append([]persimmoncross.Upstream{}, list...)
				next[i%n].Draining = !next[i%n].Draining
				pub.setList(next, time.Now())
				list = next
				changeBytes = send(s)
			}
			b.ReportMetric(float64(fullListBytes), "whole-B")
			b.ReportMetric(float64(changeBytes), "change-B")
			b.ReportMetric(float64(largestUpdate), "update-B")
		})
	}
}

// BenchmarkEncodeHead measures the encoding of the state that followers receive at each step of
// an upgrade, by the number of sessions that stay on the old version during the trial.
func BenchmarkEncodeHead(b *testing.B) {
	for _, n := range []int{50, 1_100, 10_000} {
		b.Run(fmt.Sprint("sessions=", n), func(b *testing.B) {
			keptSessions := make([]uint64, n)
			for i := range keptSessions {
				keptSessions[i] = uint64(i) * 0x9E3779B97F4A7C15
			}
			s := &register.State{
				Number:   9,
				Document: testDocument(9, manyRoutes),
				Upgrades: map[string]register.Upgrade{
					"s": {
						Service: "s",
						Stage:   register.Trial,
						Kept:    keptSessions,
					},
				},
			}
			var head []byte
			for b.Loop() {
				head = register.EncodeHead(s)
			}
			b.ReportMetric(float64(len(head)), "head-B")
		})
	}
}
