package chat

import (
	"encoding/json"
	"testing"

	"persimmoncross"
)

// FuzzRequest reads any bytes as a request's body: a good one must be
// rewritten to JSON that names the version and keeps the other fields.
func FuzzRequest(f *testing.F) {
	f.Add([]byte(`{"model":"small","messages":[{"role":"user","content":"x"}],"stream":true,"tools":[1]}`))
	f.Add([]byte(`{"model":null,"messages":[]}`))
	f.Add([]byte(`null`))
	f.Fuzz(func(t *testing.T, body []byte) {
		ParsePart(body)
		r, err := ParseRequest(body)
		if err != nil {
			return
		}
		var before, after map[string]any
		json.Unmarshal(body, &before)
		if err := json.Unmarshal(r.For(persimmoncross.ParseModelVersion("m@1")), &after); err != nil {
			t.Fatal(err)
		}
		if after["model"] != "m@1" {
			t.Errorf("model %v", after["model"])
		}
		for name := range before {
			if _, ok := after[name]; !ok {
				t.Errorf("%q is lost", name)
			}
		}
	})
}

// Requests that share messages must be recognised by them, whatever else they hold.
func TestPartIDsNameMessages(t *testing.T) {
	parse := func(body string) []string {
		r, err := ParseRequest([]byte(body))
		if err != nil {
			t.Fatal(err)
		}
		return r.PartIDs
	}
	a := parse(`{"model":"m","messages":[{"role":"system","content":"s"},{"role":"user","content":"a"}]}`)
	b := parse(`{"model":"n","stream":true,"messages":[{"role":"system","content":"s"},{"role":"user","content":"b"}]}`)
	if len(a) != 2 || len(b) != 2 || a[0] != b[0] || a[1] == b[1] || a[0] == a[1] {
		t.Errorf("parts %v and %v, want the first one shared", a, b)
	}
}
