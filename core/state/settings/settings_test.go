package settings

import (
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"persimmoncross"
	"persimmoncross/core/state/record"

	"google.golang.org/protobuf/proto"
)

const good = `{
  // a comment
  "models": {
    "small": {"price": 1, "versions": {"1": {"weight": 80}, "2": {"weight": 20}}},
    "large": {"price": 9, "versions": {"1": {"weight": 100}}},
  },
  "cascades": {"auto": {"steps": ["small", "large"]}},
  "upstreams": {
    "e1": {"kind": "engine", "address": "10.0.0.1:80", "versions": ["small@1"]},
    "s1": {"kind": "service", "address": "10.0.0.2:80"},
  },
  "fleet": {
    "rate": 50,
    "organisations": {
      "relay": {
        "keys": ["KEY"],
        "allow": ["small", "auto"],
        "branches": {"zarqa": {"rate": 5, "deny": ["small@2"]}},
      },
    },
    "callable": {"stock": {"upstreams": ["s1"], "once": ["POST /deposit", "PUT /v/*"]}},
  },
}
`

func goodFile() string { return strings.Replace(good, "KEY", HashKey("k"), 1) }

func TestParseRefuses(t *testing.T) {
	for _, c := range []struct {
		name    string
		replace string
		by      string
		want    string
	}{
		{
			name:    "unknown key",
			replace: `"price": 1,`,
			by:      `"prize": 1,`,
			want:    `4:24: models.small.prize: unknown key; did you mean "price"?`,
		},
		{
			name:    "wrong type",
			replace: `"weight": 80`,
			by:      `"weight": "80"`,
			want:    `4:56: models.small.versions.1.weight: want a whole number, found "80"`,
		},
		{
			name:    "weights that don't sum",
			replace: `"weight": 80`,
			by:      `"weight": 70`,
			want:    `models.small.versions: the weights sum to 90, want 100`,
		},
		{
			name:    "dangling model",
			replace: `"allow": ["small", "auto"]`,
			by:      `"allow": ["smal", "auto"]`,
			want:    `17:19: fleet.organisations.relay.allow[0]: there is no model or cascade "smal"; did you mean "small"?`,
		},
		{
			name:    "dangling upstream",
			replace: `"upstreams": ["s1"]`,
			by:      `"upstreams": ["s2"]`,
			want:    `fleet.callable.stock.upstreams[0]: there is no upstream "s2"; did you mean "s1"?`,
		},
		{
			name:    "cycle",
			replace: `"steps": ["small", "large"]}`,
			by:      `"steps": ["again"]}, "again": {"steps": ["auto"]}`,
			want:    `cycle: cascade "again" leads back to "auto"`,
		},
		{
			name:    "no version left",
			replace: `"deny": ["small@2"]`,
			by:      `"deny": ["small"]`,
			want:    `fleet.organisations.relay.branches.zarqa: no version is left`,
		},
		{
			name:    "key in clear",
			replace: HashKey("k"),
			by:      "secret-in-clear",
			want:    `16:18: fleet.organisations.relay.keys[0]: want sha256: and 64 hexadecimal digits`,
		},
		{
			name:    "address without port",
			replace: `"10.0.0.1:80"`,
			by:      `"10.0.0.1"`,
			want:    `upstreams.e1.address: want an IP address with a port`,
		},
		{
			name:    "duration",
			replace: `"rate": 50,`,
			by:      `"deadline": "soon",`,
			want:    `fleet.deadline: want a duration such as "30s"`,
		},
		{
			name:    "twice the same key",
			replace: `"rate": 50,`,
			by:      `"rate": 50, "rate": 60,`,
			want:    `"rate" stands here twice`,
		},
		{
			name:    "once without a path",
			replace: `"POST /deposit"`,
			by:      `"deposit"`,
			want:    `fleet.callable.stock.once[0]: want a method and a path`,
		},
		{
			name:    "no fleet",
			replace: `"fleet"`,
			by:      `"flet"`,
			want:    `flet: unknown key; did you mean "fleet"?`,
		},
		{
			name:    "syntax",
			replace: `"rate": 50,`,
			by:      `"rate" 50,`,
			want:    `13:12:`,
		},
		{
			name:    "byte order mark",
			replace: "{\n  // a comment",
			by:      "\xef\xbb\xbf{\n  // a comment",
			want:    `1:1: the file begins with a byte order mark`,
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			text := strings.Replace(goodFile(), c.replace, c.by, 1)
			if text == goodFile() {
				t.Fatalf("nothing to replace: %q", c.replace)
			}
			_, err := Parse([]byte(text))
			if err == nil || !strings.Contains(err.Error(), c.want) {
				t.Errorf("got %v, want it to contain %q", err, c.want)
			}
			if err != nil && strings.Contains(err.Error(), "secret-in-clear") {
				t.Error("the error shows a key in clear")
			}
		})
	}
}

func TestParseFindsAllMistakes(t *testing.T) {
	text := strings.NewReplacer(`"price": 1`, `"prize": 1`, `"price": 9`, `"price": "x"`).Replace(goodFile())
	_, err := Parse([]byte(text))
	e, ok := err.(*Error)
	if !ok || len(e.Problems) != 2 {
		t.Fatalf("got %v, want two problems", err)
	}
}

func TestExampleIsGood(t *testing.T) {
	source, err := os.ReadFile("../../../examples/local/fleet.jsonc")
	if err != nil {
		t.Fatal(err)
	}
	f, err := Parse(source)
	if err != nil {
		t.Fatal(err)
	}
	s := newSnapshot(f, source)
	desk, ok := s.Organisation("desk-key")
	if !ok || s.May(desk.Name, persimmoncross.ParseModelVersion("large@1")) || !s.May(desk.Name, persimmoncross.ParseModelVersion("small@1")) {
		t.Errorf("desk: %+v", desk)
	}
}

func TestEffective(t *testing.T) {
	f, err := Parse([]byte(goodFile()))
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		branch string
		name   string
		want   string
	}{
		{
			branch: "fleet",
			name:   "rate",
			want:   "50 from fleet",
		},
		{
			branch: "relay",
			name:   "rate",
			want:   "50 from fleet",
		},
		{
			branch: "relay/zarqa",
			name:   "rate",
			want:   "5 from fleet/relay/zarqa",
		},
		{
			branch: "relay/zarqa",
			name:   "allow",
			want:   "[small auto] from fleet/relay",
		},
		{
			branch: "relay/zarqa",
			name:   "deadline",
			want:   fmt.Sprintf("%v from default", 2*time.Minute),
		},
	} {
		values, err := f.Effective(c.branch)
		if err != nil {
			t.Fatal(err)
		}
		got := ""
		for _, v := range values {
			if v.Name == c.name {
				got = fmt.Sprintf("%v from %s", v.Value, v.Origin)
			}
		}
		if got != c.want {
			t.Errorf("%s %s: got %q, want %q", c.branch, c.name, got, c.want)
		}
	}
	if _, err := f.Effective("relay/zarka"); err == nil || !strings.Contains(err.Error(), `did you mean "fleet/relay/zarqa"?`) {
		t.Errorf("unknown branch: %v", err)
	}
}

func TestDiff(t *testing.T) {
	a, err := Parse([]byte(goodFile()))
	if err != nil {
		t.Fatal(err)
	}
	b, err := Parse([]byte(strings.Replace(goodFile(), `"rate": 50`, `"rate": 60`, 1)))
	if err != nil {
		t.Fatal(err)
	}
	var got []string
	for _, d := range Diff(a, b) {
		got = append(got, d.Path+" "+d.Before+" "+d.After)
	}
	want := "fleet/relay: rate 50 60, fleet/stock: rate 50 60, fleet: rate 50 60"
	if strings.Join(got, ", ") != want {
		t.Errorf("got %q, want %q", strings.Join(got, ", "), want)
	}
}

func TestOnceOnly(t *testing.T) {
	f, err := Parse([]byte(goodFile()))
	if err != nil {
		t.Fatal(err)
	}
	stock := newSnapshot(f, nil).Services["stock"]
	for _, c := range []struct {
		method string
		path   string
		want   bool
	}{
		{
			method: "POST",
			path:   "/deposit",
			want:   true,
		},
		{
			method: "GET",
			path:   "/deposit",
		},
		{
			method: "POST",
			path:   "/deposits",
		},
		{
			method: "PUT",
			path:   "/v/7",
			want:   true,
		},
	} {
		if got := stock.OnceOnly(c.method, c.path); got != c.want {
			t.Errorf("%s %s: got %t", c.method, c.path, got)
		}
	}
}

// apply proposes a change to a state machine and returns the result.
func apply(t *testing.T, s *State, index uint64, c *record.Change) *record.Result {
	t.Helper()
	r := &record.Result{}
	raw := s.Apply(persimmoncross.Entry{
		Index: index,
		Data:  record.Encode(c),
	})
	if err := proto.Unmarshal(raw, r); err != nil {
		t.Fatal(err)
	}
	return r
}

func TestStateRacesAndResends(t *testing.T) {
	s := NewState()
	first := &record.Change{
		Id:       "one",
		Operator: "amal",
		File:     []byte(goodFile()),
	}
	if r := apply(t, s, 1, first); r.GetRevision() != 1 || r.GetError() != "" {
		t.Fatalf("first: %v", r)
	}
	second := &record.Change{
		Id:       "two",
		Operator: "binta",
		File:     []byte(goodFile()),
	}
	r := apply(t, s, 2, second)
	if r.GetKind() != RefusedConflict || !strings.Contains(r.GetHolder(), "amal") || r.GetRevision() != 1 {
		t.Errorf("a race under equal revisions: %v", r)
	}
	second.Expect = 1
	if r := apply(t, s, 3, second); r.GetKind() != RefusedConflict {
		t.Errorf("a resend of a refused change must stay refused: %v", r)
	}
	third := &record.Change{
		Id:       "three",
		Operator: "binta",
		Expect:   1,
		Withdraw: "small@2",
	}
	if r := apply(t, s, 4, third); r.GetRevision() != 2 {
		t.Fatalf("withdraw: %v", r)
	}
	// The same change again, and over a restart from a snapshot.
	other := NewState()
	if err := other.Restore(s.Snapshot()); err != nil {
		t.Fatal(err)
	}
	for i, m := range []*State{s, other} {
		if r := apply(t, m, 5, third); r.GetRevision() != 2 || r.GetError() != "" {
			t.Errorf("resend %d: %v", i, r)
		}
		if m.Current().Revision != 2 || !m.Current().Withdrawn[persimmoncross.ParseModelVersion("small@2")] {
			t.Errorf("state %d: %+v", i, m.Current())
		}
	}
	// A later file does not bring a withdrawn version back.
	fourth := &record.Change{
		Id:     "four",
		Expect: 2,
		File:   []byte(goodFile()),
	}
	apply(t, s, 6, fourth)
	if w := s.Current().Weights("small")[persimmoncross.ParseModelVersion("small@2")]; w != 0 {
		t.Errorf("a withdrawn version weighs %d", w)
	}
}

// A change of a line costs a line, whatever the file's size; one that another
// change overtook comes again whole, under its own name.
func TestPackedFiles(t *testing.T) {
	var more strings.Builder
	for i := range 3_000 {
		fmt.Fprintf(&more, `"engine-%d": {"kind": "engine", "address": "10.1.%d.%d:80", "versions": ["small@1"]},`+"\n", i, i>>8, i&255)
	}
	file := func(rate string) []byte {
		text := strings.Replace(goodFile(), `"rate": 50`, `"rate": `+rate, 1)
		return []byte(strings.Replace(text, `"upstreams": {`, `"upstreams": {`+more.String(), 1))
	}
	s := NewState()
	change := func(id, rate string, in *Snapshot) *record.Change {
		c := &record.Change{
			Id:  id,
			Any: true,
		}
		in.Pack(c, file(rate))
		return c
	}
	if r := apply(t, s, 1, change("one", "50", nil)); r.GetRevision() != 1 || r.GetError() != "" {
		t.Fatalf("whole: %v", r)
	}
	first := s.Current()
	two := change("two", "60", first)
	if n := len(record.Encode(two)); two.GetBase() != 1 || n > 400 {
		t.Errorf("a change of a line takes %d bytes against revision %d", n, two.GetBase())
	}
	if r := apply(t, s, 2, two); r.GetRevision() != 2 || r.GetError() != "" {
		t.Fatalf("packed: %v", r)
	}
	late := change("three", "70", first)
	if r := apply(t, s, 3, late); r.GetKind() != RefusedBase || s.Current().Revision != 2 {
		t.Fatalf("against a revision that is not in force: %v", r)
	}
	(*Snapshot)(nil).Pack(late, file("70"))
	if r := apply(t, s, 4, late); r.GetRevision() != 3 || r.GetError() != "" {
		t.Fatalf("the same change, whole: %v", r)
	}
	damaged := change("four", "80", s.Current())
	damaged.Packed = damaged.GetPacked()[:len(damaged.GetPacked())-1]
	if r := apply(t, s, 5, damaged); r.GetKind() != RefusedBase || string(s.Current().Source) != string(file("70")) {
		t.Errorf("damaged: %v", r)
	}
	snapshot := s.Snapshot()
	if len(snapshot) > len(file("70"))/5 {
		t.Errorf("a snapshot has %d bytes", len(snapshot))
	}
	other := NewState()
	if err := other.Restore(snapshot); err != nil || string(other.Current().Source) != string(file("70")) || other.Current().Revision != 3 {
		t.Errorf("restored: %v", err)
	}
	// A snapshot of a program that did not pack yet.
	if err := other.Restore(record.Encode(s.held)); err != nil || string(other.Current().Source) != string(file("70")) {
		t.Errorf("restored unpacked: %v", err)
	}
}

func TestReferenceIsCurrent(t *testing.T) {
	page, err := os.ReadFile("../../../docs/SETTINGS.md")
	if err != nil {
		t.Fatal(err)
	}
	if string(page) != Reference() {
		t.Error("docs/SETTINGS.md is not what `persimmoncross reference` prints")
	}
}

// Evacuations outlive a restart from a snapshot and changes of the file; one of a data
// centre in which no upstream stands is refused.
func TestEvacuatedDataCentres(t *testing.T) {
	s := NewState()
	n := 0
	change := func(c *record.Change) *record.Result {
		n++
		c.Id = fmt.Sprint(n)
		c.Any = true
		r := &record.Result{}
		if err := proto.Unmarshal(s.Apply(persimmoncross.Entry{
			Data: record.Encode(c),
		}), r); err != nil {
			t.Fatal(err)
		}
		return r
	}
	file := strings.Replace(goodFile(), `"upstreams": {`, `"upstreams": {"far": {"kind": "service", "address": "127.0.0.9:99", "datacentre": "zarqa"}, `, 1)
	if r := change(&record.Change{File: []byte(file)}); r.GetError() != "" {
		t.Fatal(r.GetError())
	}
	if r := change(&record.Change{Evacuate: "nowhere"}); r.GetKind() != RefusedUnknown {
		t.Errorf("an unknown one: %v", r)
	}
	change(&record.Change{Evacuate: "zarqa"})
	change(&record.Change{Evacuate: "zarqa"})
	change(&record.Change{File: []byte(file + " ")})
	again := NewState()
	if err := again.Restore(s.Snapshot()); err != nil {
		t.Fatal(err)
	}
	for _, x := range []*State{s, again} {
		if got := x.Current().Evacuated; len(got) != 1 || !got["zarqa"] {
			t.Errorf("evacuated: %v", got)
		}
	}
	change(&record.Change{Readmit: "zarqa"})
	if got := s.Current().Evacuated; len(got) != 0 {
		t.Errorf("after its end: %v", got)
	}
}
