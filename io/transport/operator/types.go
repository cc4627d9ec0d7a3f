package operator

import "time"

// ApplyResult answers a change.
type ApplyResult struct {
	Revision uint64   `json:"revision"`
	Change   string   `json:"change"`
	InForce  []string `json:"inforce"`           // VMs that have it
	Waiting  []string `json:"waiting,omitempty"` // VMs not heard to have it within the wait
	Took     float64  `json:"took"`              // seconds from the request to the last VM of InForce
}

// SettingsResult is the file in force.
type SettingsResult struct {
	Revision uint64 `json:"revision"`
	File     string `json:"file"`
}

// StatusResult is the fleet as one VM sees it.
type StatusResult struct {
	VM        string           `json:"vm"`
	Revision  uint64           `json:"revision"`
	Withdrawn []string         `json:"withdrawn"`
	Drained   []string         `json:"drained"`
	Evacuated []string         `json:"evacuated"` // data centres
	VMs       []VMStatus       `json:"vms"`
	Upstreams []UpstreamStatus `json:"upstreams"`
	Rollouts  []RolloutStatus  `json:"rollouts"`
}

// VMStatus is one VM.
type VMStatus struct {
	Name        string        `json:"name"`
	DataCentre  string        `json:"datacentre,omitempty"`
	Reachable   bool          `json:"reachable"`
	Revision    uint64        `json:"revision"`
	Lease       bool          `json:"lease"`
	Draining    bool          `json:"draining"`
	Incarnation string        `json:"incarnation,omitempty"`
	Groups      []GroupStatus `json:"groups,omitempty"`
}

// GroupStatus is one VM's member of a replicated log.
type GroupStatus struct {
	Group   string   `json:"group"`
	Member  string   `json:"member"`
	Role    string   `json:"role"`
	Term    uint64   `json:"term"`
	Commit  uint64   `json:"commit"`
	Applied uint64   `json:"applied"`
	Leader  string   `json:"leader"`
	Voters  []string `json:"voters"`
}

// UpstreamStatus is one upstream as this VM sees it.
type UpstreamStatus struct {
	Name     string   `json:"name"`
	Kind     string   `json:"kind"`
	Address  string   `json:"address"`
	Leaving  bool     `json:"leaving"`
	Broken   bool     `json:"broken"` // a circuit, for one version at least, is open
	InFlight int      `json:"inflight"`
	Versions []string `json:"versions,omitempty"`

	DataCentre string `json:"datacentre,omitempty"`
}

// RolloutStatus is one roll-out.
type RolloutStatus struct {
	Name    string `json:"name"`
	To      string `json:"to"`
	Stage   int    `json:"stage"`
	Share   int    `json:"share"` // per cent
	Verdict string `json:"verdict,omitempty"`
	Reason  string `json:"reason,omitempty"`
}

// BillResult is one settled request.
type BillResult struct {
	Serial       uint64       `json:"serial"`
	Organisation string       `json:"organisation"`
	Key          string       `json:"key"`
	Request      string       `json:"request"`
	Outcome      string       `json:"outcome"`
	Settled      time.Time    `json:"settled"`
	Lines        []LineResult `json:"lines"`
}

// LineResult is one run that a bill charges for.
type LineResult struct {
	Attempt  string `json:"attempt"`
	Version  string `json:"version"`
	Upstream string `json:"upstream"`
	Input    uint64 `json:"input"`
	Output   uint64 `json:"output"`
}

// TotalResult is what an organisation used of a version.
type TotalResult struct {
	Organisation string `json:"organisation"`
	Version      string `json:"version"`
	Runs         uint64 `json:"runs"`
	Input        uint64 `json:"input"`
	Output       uint64 `json:"output"`
}
