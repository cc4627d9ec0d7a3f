package main

import (
	_ "embed"
	"encoding/json"
)

// The platform's names stand in files beside the code, as they stand in platform/ only in the
// project's own code.
var (
	//go:embed wire.json
	wireFile []byte
	//go:embed config.json
	configFile string
	//go:embed site.json
	siteFile string

	names = map[string]string{}
)

func init() {
	if err := json.Unmarshal(wireFile, &names); err != nil {
		panic(err) // the file is part of the program
	}
}

// name returns the platform's name for a header or a word.
func name(word string) string {
	n, ok := names[word]
	if !ok {
		panic("no name for " + word)
	}
	return n
}
