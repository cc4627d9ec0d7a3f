package settings

import (
	"fmt"
	"maps"
	"reflect"
	"slices"
)

// Difference is one effective value, or one part of the catalogue, that two
// files do not share.
type Difference struct {
	Path   string
	Before string // "" if absent
	After  string // "" if absent
}

// Diff compares two files by what is in force at each branch, not by text.
func Diff(a, b *File) []Difference {
	before, after := a.flatten(), b.flatten()
	names := map[string]bool{}
	for n := range before {
		names[n] = true
	}
	for n := range after {
		names[n] = true
	}
	var list []Difference
	for _, n := range slices.Sorted(maps.Keys(names)) {
		if before[n] != after[n] {
			list = append(list, Difference{
				Path:   n,
				Before: before[n],
				After:  after[n],
			})
		}
	}
	return list
}

// flatten lists every effective value and every leaf of the catalogue.
func (f *File) flatten() map[string]string {
	out := map[string]string{}
	v := reflect.ValueOf(f).Elem()
	for i := range v.NumField() {
		name := v.Type().Field(i).Tag.Get("json")
		if name != fleetName {
			flatten(out, name, v.Field(i))
		}
	}
	f.walk(func(path string, b *Branch, s *Service, e effective) {
		for _, value := range e.values() {
			out[path+": "+value.Name] = fmt.Sprint(value.Value)
		}
		if b != nil {
			out[path+": keys"] = fmt.Sprintf("%d keys %s", len(b.Keys), shorten(b.Keys))
		}
		if s != nil {
			out[path+": upstreams"] = fmt.Sprint(s.Upstreams)
			out[path+": once"] = fmt.Sprint(s.Once)
		}
	})
	return out
}

func flatten(out map[string]string, path string, v reflect.Value) {
	switch v.Kind() {
	case reflect.Pointer:
		if !v.IsNil() {
			flatten(out, path, v.Elem())
		}
	case reflect.Map:
		for _, k := range v.MapKeys() {
			flatten(out, path+"."+k.String(), v.MapIndex(k))
		}
	case reflect.Struct:
		if v.Type() == addressType {
			out[path] = fmt.Sprint(v.Interface())
			return
		}
		for i := range v.NumField() {
			flatten(out, path+"."+v.Type().Field(i).Tag.Get("json"), v.Field(i))
		}
	default:
		out[path] = fmt.Sprint(v.Interface())
	}
}

// shorten shows enough of each key's hash to tell it from the others.
func shorten(keys []string) []string {
	var short []string
	for _, k := range keys {
		short = append(short, k[:min(len(k), len(keyPrefix)+8)])
	}
	return short
}
