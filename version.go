package persimmoncross

import "strings"

// ModelVersion identifies one version of one model, written "model@name".
type ModelVersion struct {
	Model string
	Name  string
}

// ParseModelVersion parses "model@name". A string without "@" is a model without a version;
// its Name is empty.
func ParseModelVersion(s string) ModelVersion {
	model, name, _ := strings.Cut(s, "@")
	return ModelVersion{
		Model: model,
		Name:  name,
	}
}

// String returns the form "model@name", or only the model if Name is empty.
func (v ModelVersion) String() string {
	if v.Name == "" {
		return v.Model
	}
	return v.Model + "@" + v.Name
}

// Pinned reports whether v names a version, not only a model.
func (v ModelVersion) Pinned() bool { return v.Name != "" }
