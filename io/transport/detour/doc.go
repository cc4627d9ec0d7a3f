// Package detour connects to upstreams through other VMs, and connects other VMs to upstreams. A
// connection is one stream between two VMs that carries Segments both ways. Which path is taken is
// decided in core/coordination/detour.
package detour
