package settings

import (
	"reflect"
	"strings"
)

// Names of the origin of values that no branch sets, and of the tree's root.
const (
	defaultOrigin = "default"
	fleetName     = "fleet"
)

// Value is one effective value of a branch.
type Value struct {
	Name   string
	Value  any
	Origin string // the branch it comes from
}

// effective is a policy with every field set, and where each came from.
type effective struct {
	policy Policy
	origin map[string]string
}

func rootPolicy() effective {
	e := effective{
		origin: map[string]string{},
	}
	return e.override(defaults, defaultOrigin)
}

// override returns the policy with the fields that p sets replaced.
func (e effective) override(p Policy, origin string) effective {
	next := effective{
		policy: e.policy,
		origin: map[string]string{},
	}
	for k, v := range e.origin {
		next.origin[k] = v
	}
	from := reflect.ValueOf(p)
	to := reflect.ValueOf(&next.policy).Elem()
	for i := range from.NumField() {
		if from.Field(i).IsNil() {
			continue
		}
		to.Field(i).Set(from.Field(i))
		next.origin[from.Type().Field(i).Tag.Get("json")] = origin
	}
	return next
}

// values lists the policy in the order of its fields.
func (e effective) values() []Value {
	var list []Value
	v := reflect.ValueOf(e.policy)
	for i := range v.NumField() {
		if v.Field(i).IsNil() {
			continue
		}
		name := v.Type().Field(i).Tag.Get("json")
		value := v.Field(i).Interface()
		if v.Field(i).Kind() == reflect.Pointer {
			value = v.Field(i).Elem().Interface()
		}
		list = append(list, Value{
			Name:   name,
			Value:  value,
			Origin: e.origin[name],
		})
	}
	return list
}

// walk visits the fleet, its services, and its organisations with their
// branches, parents first.
func (f *File) walk(visit func(path string, b *Branch, s *Service, e effective)) {
	e := rootPolicy()
	if f.Fleet == nil {
		return
	}
	e = e.override(f.Fleet.Policy, fleetName)
	visit(fleetName, f.Fleet, nil, e)
	for name, s := range f.Fleet.Callable {
		path := fleetName + "/" + name
		visit(path, nil, s, e.override(s.Policy, path))
	}
	for name, b := range f.Fleet.Organisations {
		b.walk(fleetName+"/"+name, e, visit)
	}
}

func (b *Branch) walk(path string, parent effective, visit func(string, *Branch, *Service, effective)) {
	e := parent.override(b.Policy, path)
	visit(path, b, nil, e)
	for name, c := range b.Branches {
		c.walk(path+"/"+name, e, visit)
	}
}

// Effective returns each value of the branch and the branch it came from. The
// path is as in "fleet/relay/zarqa"; the leading "fleet/" may be left out.
func (f *File) Effective(path string) ([]Value, error) {
	if path != fleetName && !strings.HasPrefix(path, fleetName+"/") {
		path = fleetName + "/" + path
	}
	var found []Value
	var known []string
	f.walk(func(p string, _ *Branch, _ *Service, e effective) {
		known = append(known, p)
		if p == path {
			found = e.values()
		}
	})
	if found == nil {
		return nil, &Error{
			Operation: "effective",
			Kind:      Unknown,
			Detail:    "no branch " + path + suggest(path, known),
		}
	}
	return found, nil
}
