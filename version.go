package persimmoncross

import "strings"

// ModelVersion names one version of one model, written "model@name".
type ModelVersion struct {
	Model string
	Name  string
}

// ParseModelVersion splits "model@name". A text without "@" is a bare model, with an
// empty Name.
func ParseModelVersion(s string) ModelVersion {
	model, name, _ := strings.Cut(s, "@")
	return ModelVersion{
		Model: model,
		Name:  name,
	}
}

// String returns the written form.
func (v ModelVersion) String() string {
	if v.Name == "" {
		return v.Model
	}
	return v.Model + "@" + v.Name
}

// Pinned reports whether the version is named, not only the model.
func (v ModelVersion) Pinned() bool { return v.Name != "" }
