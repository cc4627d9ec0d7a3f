package settings

import (
	"bytes"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"reflect"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/tailscale/hujson"
)

// maxFileSize bounds a settings file, in bytes.
const maxFileSize = 8 << 20

var (
	byteOrderMark = []byte("\xef\xbb\xbf")
	syntaxPlace   = regexp.MustCompile(`line (\d+), column (\d+): (.*)`)
	durationType  = reflect.TypeFor[time.Duration]()
	addressType   = reflect.TypeFor[netip.AddrPort]()
	hostType      = reflect.TypeFor[netip.Addr]()
)

// decoder fills Go values from a JSON-with-comments tree. It goes on after a
// mistake, so that all of them are found, and remembers where each path stood.
type decoder struct {
	source   []byte
	problems []Problem
	places   map[string]int // path to byte offset
}

// decode parses source into target, a pointer to a struct.
func decode(source []byte, target any) (*decoder, error) {
	d := &decoder{
		source: source,
		places: map[string]int{},
	}
	if len(source) > maxFileSize {
		return d, fileError(Problem{
			Line:   1,
			Column: 1,
			Text:   fmt.Sprintf("the file is over %d bytes", maxFileSize),
		})
	}
	if bytes.HasPrefix(source, byteOrderMark) {
		return d, fileError(Problem{
			Line:   1,
			Column: 1,
			Text:   "the file begins with a byte order mark: save it as plain UTF-8",
		})
	}
	tree, err := hujson.Parse(source)
	if err != nil {
		return d, syntaxError(err)
	}
	d.value(tree, reflect.ValueOf(target).Elem(), "")
	return d, nil
}

func fileError(p ...Problem) *Error {
	return &Error{
		Operation: "read file",
		Kind:      Invalid,
		Problems:  p,
	}
}

func syntaxError(err error) *Error {
	p := Problem{
		Line:   1,
		Column: 1,
		Text:   err.Error(),
	}
	if m := syntaxPlace.FindStringSubmatch(err.Error()); m != nil {
		p.Line, _ = strconv.Atoi(m[1])
		p.Column, _ = strconv.Atoi(m[2])
		p.Text = m[3]
	}
	return fileError(p)
}

// problem notes a mistake at a path that was met.
func (d *decoder) problem(path, format string, args ...any) {
	d.at(d.places[path], path, format, args...)
}

func (d *decoder) at(offset int, path, format string, args ...any) {
	before := d.source[:min(offset, len(d.source))]
	d.problems = append(d.problems, Problem{
		Line:   1 + bytes.Count(before, []byte("\n")),
		Column: len(before) - bytes.LastIndexByte(before, '\n'),
		Path:   path,
		Text:   fmt.Sprintf(format, args...),
	})
}

// result returns the problems found, in the order of the file.
func (d *decoder) result() error {
	if len(d.problems) == 0 {
		return nil
	}
	slices.SortStableFunc(d.problems, func(a, b Problem) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
	return &Error{
		Operation: "check",
		Kind:      Invalid,
		Problems:  d.problems,
	}
}

func (d *decoder) value(v hujson.Value, target reflect.Value, path string) {
	d.places[path] = v.StartOffset
	if target.Kind() == reflect.Pointer {
		target.Set(reflect.New(target.Type().Elem()))
		d.value(v, target.Elem(), path)
		return
	}
	switch target.Type() {
	case durationType:
		d.duration(v, target, path)
		return
	case addressType:
		d.address(v, target, path)
		return
	case hostType:
		d.host(v, target, path)
		return
	}
	switch target.Kind() {
	case reflect.Struct:
		d.object(v, path, func(name string, member hujson.Value, inner string) {
			d.field(name, member, target, inner)
		})
	case reflect.Map:
		target.Set(reflect.MakeMap(target.Type()))
		d.object(v, path, func(name string, member hujson.Value, inner string) {
			item := reflect.New(target.Type().Elem()).Elem()
			d.value(member, item, inner)
			target.SetMapIndex(reflect.ValueOf(name), item)
		})
	case reflect.Slice:
		d.array(v, target, path)
	default:
		d.literal(v, target, path)
	}
}

func (d *decoder) object(v hujson.Value, path string, each func(string, hujson.Value, string)) {
	o, ok := v.Value.(*hujson.Object)
	if !ok {
		d.problem(path, "want an object {…}, found %s", describe(v))
		return
	}
	seen := map[string]bool{}
	for _, m := range o.Members {
		name := m.Name.Value.(hujson.Literal).String()
		inner := join(path, name)
		if seen[name] {
			d.at(m.Name.StartOffset, inner, "%q stands here twice", name)
			continue
		}
		seen[name] = true
		each(name, m.Value, inner)
		if _, met := d.places[inner]; !met {
			d.at(m.Name.StartOffset, inner, "unknown key")
		}
	}
}

// field decodes one member of a struct. Fields of an embedded struct count as
// the struct's own.
func (d *decoder) field(name string, v hujson.Value, target reflect.Value, path string) {
	f, ok := findField(target, name)
	if ok {
		d.value(v, f, path)
		return
	}
	d.places[path] = v.StartOffset
	d.problem(path, "unknown key%s", suggest(name, fieldNames(target.Type())))
}

func findField(target reflect.Value, name string) (reflect.Value, bool) {
	for i := range target.NumField() {
		f := target.Type().Field(i)
		if f.Anonymous {
			if inner, ok := findField(target.Field(i), name); ok {
				return inner, true
			}
			continue
		}
		if f.Tag.Get("json") == name {
			return target.Field(i), true
		}
	}
	return reflect.Value{}, false
}

func fieldNames(t reflect.Type) []string {
	var names []string
	for i := range t.NumField() {
		f := t.Field(i)
		if f.Anonymous {
			names = append(names, fieldNames(f.Type)...)
			continue
		}
		names = append(names, f.Tag.Get("json"))
	}
	return names
}

func (d *decoder) array(v hujson.Value, target reflect.Value, path string) {
	a, ok := v.Value.(*hujson.Array)
	if !ok {
		d.problem(path, "want a list […], found %s", describe(v))
		return
	}
	list := reflect.MakeSlice(target.Type(), len(a.Elements), len(a.Elements))
	for i, e := range a.Elements {
		d.value(e, list.Index(i), fmt.Sprintf("%s[%d]", path, i))
	}
	target.Set(list)
}

func (d *decoder) literal(v hujson.Value, target reflect.Value, path string) {
	l, ok := v.Value.(hujson.Literal)
	if ok && l.Kind() != 'n' && json.Unmarshal([]byte(l), target.Addr().Interface()) == nil {
		return
	}
	want := map[reflect.Kind]string{
		reflect.String:  `a text "…"`,
		reflect.Int:     "a whole number",
		reflect.Float64: "a number",
		reflect.Bool:    "true or false",
	}[target.Kind()]
	d.problem(path, "want %s, found %s", want, describe(v))
}

func (d *decoder) duration(v hujson.Value, target reflect.Value, path string) {
	text, err := textOf(v)
	if err == nil {
		var parsed time.Duration
		if parsed, err = time.ParseDuration(text); err == nil && parsed < 0 {
			err = errors.New("negative")
		}
		target.SetInt(int64(parsed))
	}
	if err != nil {
		d.problem(path, `want a duration such as "30s" or "1m30s", found %s`, describe(v))
	}
}

func (d *decoder) address(v hujson.Value, target reflect.Value, path string) {
	d.parse(v, target, path, `an IP address with a port, such as "10.0.0.7:8000"`, func(text string) (any, error) { return netip.ParseAddrPort(text) })
}

func (d *decoder) host(v hujson.Value, target reflect.Value, path string) {
	d.parse(v, target, path, `an IP address without a port, such as "10.0.0.7"`, func(text string) (any, error) { return netip.ParseAddr(text) })
}

// parse sets the target to what is parsed from a text; want says which texts can be.
func (d *decoder) parse(v hujson.Value, target reflect.Value, path, want string, parse func(string) (any, error)) {
	text, err := textOf(v)
	if err == nil {
		var parsed any
		if parsed, err = parse(text); err == nil {
			target.Set(reflect.ValueOf(parsed))
		}
	}
	if err != nil {
		d.problem(path, "want %s, found %s", want, describe(v))
	}
}

func textOf(v hujson.Value) (string, error) {
	l, ok := v.Value.(hujson.Literal)
	if !ok || l.Kind() != '"' {
		return "", errors.New("not a text")
	}
	return l.String(), nil
}

func describe(v hujson.Value) string {
	switch t := v.Value.(type) {
	case *hujson.Object:
		return "an object"
	case *hujson.Array:
		return "a list"
	case hujson.Literal:
		return string(t)
	}
	return "nothing"
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

// suggest names the closest of the names, if one is close.
func suggest(name string, names []string) string {
	best, distance := "", 3
	for _, n := range names {
		if d := editDistance(name, n); d < distance {
			best, distance = n, d
		}
	}
	if best != "" {
		return fmt.Sprintf("; did you mean %q?", best)
	}
	if len(names) > 0 && len(names) <= 12 {
		sorted := slices.Sorted(slices.Values(names))
		return "; known are: " + strings.Join(sorted, ", ")
	}
	return ""
}

func editDistance(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := range len(a) {
		previous := row[0]
		row[0] = i + 1
		for j := range len(b) {
			cost := previous
			if a[i] != b[j] {
				cost = 1 + min(previous, row[j], row[j+1])
			}
			previous, row[j+1] = row[j+1], cost
		}
	}
	return row[len(b)]
}
