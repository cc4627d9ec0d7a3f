package dispatch

import (
	"cmp"
	"slices"

	"persimmoncross"
	"persimmoncross/core/state/settings"
)

// checkPermission refuses a request for something that the organisation may not use, before
// anything runs.
func (d *Dispatcher) checkPermission(w *Request) *persimmoncross.Refusal {
	if w.Service != nil {
		return d.checkServicePermission(w)
	}
	_, refusal := d.permittedSteps(d.Settings(), w)
	return refusal
}

// checkServicePermission refuses a request to a plain service that the organisation may not
// use now.
func (d *Dispatcher) checkServicePermission(w *Request) *persimmoncross.Refusal {
	if d.Settings().Named(w.Organisation.Name).Services[w.Service.Name] {
		return nil
	}
	return persimmoncross.NewRefusal(persimmoncross.CodeServiceForbidden, "%s may not use %q", w.Organisation.Name, w.Service.Name)
}

// noVersionRefusal returns the refusal for a step that has no version to run on.
func (d *Dispatcher) noVersionRefusal(w *Request, step persimmoncross.ModelVersion) *persimmoncross.Refusal {
	if isAllowed(d.Settings().Named(w.Organisation.Name), step) {
		return persimmoncross.NewRefusal(persimmoncross.CodeVersionWithdrawn, "%q is withdrawn", step)
	}
	return persimmoncross.NewRefusal(persimmoncross.CodeModelForbidden, "%s may not use %q", w.Organisation.Name, step)
}

// permittedSteps returns the steps of the requested target that the organisation may use. A
// step without a version stands for any permitted version of its model.
func (d *Dispatcher) permittedSteps(s *settings.Snapshot, w *Request) ([]persimmoncross.ModelVersion, *persimmoncross.Refusal) {
	_, cascade := s.File.Cascades[w.TargetName]
	named := persimmoncross.ParseModelVersion(w.TargetName)
	if m, ok := s.File.Models[named.Model]; !cascade && (!ok || named.Pinned() && m.Versions[named.Name] == nil) {
		return nil, persimmoncross.NewRefusal(persimmoncross.CodeModelUnknown, "there is no model, version or cascade %q", w.TargetName)
	}
	if cascade && !s.Named(w.Organisation.Name).Cascades[w.TargetName] {
		return nil, persimmoncross.NewRefusal(persimmoncross.CodeModelForbidden, "%s may not use %q", w.Organisation.Name, w.TargetName)
	}
	var steps []persimmoncross.ModelVersion
	allowed := false
	for _, step := range s.Steps(w.TargetName) {
		if len(permittedVersions(s, w.Organisation.Name, step)) > 0 {
			steps = append(steps, step)
		}
		allowed = allowed || isAllowed(s.Named(w.Organisation.Name), step)
	}
	switch {
	case len(steps) > 0:
		return steps, nil
	case allowed:
		return nil, persimmoncross.NewRefusal(persimmoncross.CodeVersionWithdrawn, "%q is withdrawn", w.TargetName)
	}
	return nil, persimmoncross.NewRefusal(persimmoncross.CodeModelForbidden, "%s may not use %q", w.Organisation.Name, w.TargetName)
}

// isAllowed reports whether the organisation is allowed to use the version, or any version of
// the model if step names no version. Withdrawn versions count too.
func isAllowed(o *settings.Organisation, step persimmoncross.ModelVersion) bool {
	for v := range o.Versions {
		if v == step || !step.Pinned() && v.Model == step.Model {
			return true
		}
	}
	return false
}

// permittedVersions returns the versions that a step may run on now, sorted.
func permittedVersions(s *settings.Snapshot, organisation string, step persimmoncross.ModelVersion) []persimmoncross.ModelVersion {
	var list []persimmoncross.ModelVersion
	for v := range s.Named(organisation).Versions {
		if (v == step || !step.Pinned() && v.Model == step.Model) && s.May(organisation, v) {
			list = append(list, v)
		}
	}
	slices.SortFunc(list, func(a, b persimmoncross.ModelVersion) int { return cmp.Compare(a.String(), b.String()) })
	return list
}

// pickVersion picks one of the step's permitted versions at random by the weights in force.
// If the picked version is being rolled out and may get no more requests now, pickVersion
// picks among the others; it returns such a version only if no other is left.
func (d *Dispatcher) pickVersion(s *settings.Snapshot, organisation string, step persimmoncross.ModelVersion) (persimmoncross.ModelVersion, bool) {
	permitted := permittedVersions(s, organisation, step)
	if len(permitted) == 0 {
		return persimmoncross.ModelVersion{}, false
	}
	if step.Pinned() {
		return permitted[0], true
	}
	weights := s.Weights(step.Model)
	usable := slices.DeleteFunc(slices.Clone(permitted), func(v persimmoncross.ModelVersion) bool { return weights[v] == 0 })
	if len(usable) == 0 {
		usable = permitted
	}
	for len(usable) > 1 {
		i := d.pickByWeight(usable, weights)
		if d.RolloutEvidence.TryExpose(usable[i]) {
			return usable[i], true
		}
		d.count("rollout.withheld")
		usable = slices.Delete(usable, i, i+1)
	}
	return usable[0], true
}

// pickByWeight returns the index of a version picked at random by weight.
func (d *Dispatcher) pickByWeight(usable []persimmoncross.ModelVersion, weights map[persimmoncross.ModelVersion]int) int {
	total := 0
	for _, v := range usable {
		total += max(1, weights[v])
	}
	d.mu.Lock()
	n := d.Random.IntN(total)
	d.mu.Unlock()
	for i, v := range usable {
		if n -= max(1, weights[v]); n < 0 {
			return i
		}
	}
	return len(usable) - 1
}
