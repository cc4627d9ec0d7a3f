// Rig starts the project's programs with stand-ins for clients, servers and the platform, plays one
// case and checks its rule. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case
// could not run.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

// play is one run of a case.
type play struct {
	record  *record
	fleet   *fleet
	list    *list
	clients *clients
	trouble bool
	work    sync.WaitGroup

	gateways []*gateway // of the case home
	away     *awayIDs
}

// scenario is what a case starts, and its course.
type scenario struct {
	entries  int
	prepare  func(p *play) error // before the programs start; may be nil
	replicas func(p *play) []*replica
	run      func(p *play) error
}

var scenarios = map[string]scenario{
	"once-stream":  onceStream,
	"old-version":  oldVersion,
	"unread-list":  unreadList,
	"home":         home,
	"same-version": sameVersion,
}

func main() {
	which := flag.String("case", "", "the case")
	trouble := flag.Bool("trouble", true, "with the disruption")
	binary := flag.String("binary", "target/persimmoncross", "the program")
	path := flag.String("record", "record.txt", "the record")
	keep := flag.Bool("keep", false, "keep the folder with settings and logs")
	flag.Parse()
	code, err := run(*which, *trouble, *binary, *path, *keep)
	if err != nil {
		fmt.Fprintln(os.Stderr, "rig:", err)
	}
	os.Exit(code)
}

func run(which string, trouble bool, binary, path string, keep bool) (int, error) {
	s, ok := scenarios[which]
	if !ok {
		return 2, fmt.Errorf("no case %q", which)
	}
	r, err := newRecord(path)
	if err != nil {
		return 2, err
	}
	defer r.close()
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return 2, err
	}
	if keep {
		fmt.Println(folder)
	} else {
		defer os.RemoveAll(folder)
	}
	p := &play{
		record:  r,
		clients: newClients(r),
		trouble: trouble,
	}
	if p.list, err = newList(r); err != nil {
		return 2, err
	}
	defer p.list.close()
	if p.fleet, err = newFleet(r, binary, folder, s.entries, p.list.address()); err != nil {
		return 2, err
	}
	defer p.fleet.close()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	done := make(chan error, 1)
	go func() { done <- p.play(s) }()
	select {
	case err = <-done:
	case <-stop:
		err = fmt.Errorf("stopped")
	case <-time.After(110 * time.Second):
		err = fmt.Errorf("the time is over")
	}
	switch {
	case err != nil:
		r.say("could not run: %v", err)
		return 2, err
	case r.broken() > 0:
		r.say("the rule was broken")
		return 1, nil
	}
	r.say("the rule held")
	return 0, nil
}

func (p *play) play(s scenario) error {
	for _, r := range s.replicas(p) {
		if err := p.list.add(r); err != nil {
			return err
		}
	}
	if s.prepare != nil {
		if err := s.prepare(p); err != nil {
			return err
		}
	}
	if err := p.fleet.start(); err != nil {
		return err
	}
	p.record.say("traffic starts")
	return s.run(p)
}
