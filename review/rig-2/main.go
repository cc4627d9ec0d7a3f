// Command rig2 plays the scripted cases of the second review: the project's programs as separate processes, with stand-ins
// for clients, replicas, the operator and the platform's list.
package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// Exit codes of a case.
const (
	held   = 0
	broken = 1
	notRun = 2
)

// cases by name. trouble is false for a run without the disruption.
var cases = map[string]func(f *fleet, trouble bool) (int, error){
	"evacuation": evacuation,
}

func main() { os.Exit(run()) }

func run() int {
	name := flag.String("case", "", "the case")
	binary := flag.String("binary", "target/persimmoncross", "the program")
	out := flag.String("record", "record.txt", "where what is sent, answered and run is written")
	rig := flag.String("rig", "review/rig-2", "the folder with the names of the platform's pages")
	keep := flag.String("folder", "", "a folder for settings, disks and logs; empty: a temporary one")
	flag.Parse()
	play := cases[*name]
	file, err := os.Create(*out)
	if err != nil || play == nil {
		fmt.Fprintln(os.Stderr, "no such case, or no record:", *name, err)
		return notRun
	}
	defer file.Close()
	f := &fleet{record: &record{out: file, began: time.Now()}}
	text, err := os.ReadFile(filepath.Join(*rig, "names.json"))
	if err == nil {
		err = json.Unmarshal(text, &names)
	}
	if err == nil {
		f.binary, err = filepath.Abs(*binary)
	}
	if f.folder = *keep; err == nil && f.folder == "" {
		f.folder, err = os.MkdirTemp("", "case-")
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	if *keep == "" {
		defer os.RemoveAll(f.folder)
	}
	document, err := os.ReadFile(filepath.Join(*rig, "document.json"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	f.document = document
	code, err := play(f, os.Getenv("TROUBLE") != "0")
	f.close()
	if err != nil {
		f.say("could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	f.say("%s", map[int]string{held: "held", broken: "BROKEN"}[code])
	return code
}
