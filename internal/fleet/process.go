package fleet

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"persimmoncross/core/state/settings"
	"persimmoncross/internal/procstate"
)

// localFile is a local settings file as a process reads it.
type localFile struct {
	Name       string               `json:"name"`
	DataCentre string               `json:"datacentre"`
	Data       string               `json:"data,omitempty"`
	Caller     string               `json:"caller"`
	Operator   string               `json:"operator"`
	Peer       string               `json:"peer"`
	Peers      map[string]localPeer `json:"peers"`
	Operators  string               `json:"operators"`
	Grace      string               `json:"grace"`
	TLS        *settings.LocalTLS   `json:"tls,omitempty"`
}

type localPeer struct {
	Address string `json:"address"`
	Voter   bool   `json:"voter"`
}

// launchProcess starts a VM as a process of its own.
func (f *Fleet) launchProcess(r *running) error {
	path, err := f.writeLocal(r.local)
	if err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(f.Folder, r.local.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer log.Close()
	c := exec.Command(f.Binary, "serve", "--settings", path)
	c.Stderr = log
	c.Stdout = log
	if err := c.Start(); err != nil {
		return err
	}
	r.process = c.Process
	r.cancel = func() { c.Process.Signal(syscall.SIGTERM) }
	done := r.done
	go func() { done <- c.Wait() }()
	return nil
}

func (f *Fleet) writeLocal(l *settings.Local) (string, error) {
	file := localFile{
		Name:       l.Name,
		DataCentre: l.DataCentre,
		Data:       l.Data,
		Caller:     l.Caller.String(),
		Operator:   l.Operator.String(),
		Peer:       l.Peer.String(),
		Peers:      map[string]localPeer{},
		Operators:  l.Operators,
		Grace:      l.Grace.String(),
		TLS:        l.TLS,
	}
	for name, p := range l.Peers {
		file.Peers[name] = localPeer{
			Address: p.Address.String(),
			Voter:   p.Voter,
		}
	}
	data, err := json.Marshal(file)
	if err != nil {
		return "", err
	}
	path := filepath.Join(f.Folder, l.Name+".json")
	return path, os.WriteFile(path, data, 0o644)
}

// Kill ends a VM's process at once.
func (f *Fleet) Kill(name string) error {
	r := f.vms[name]
	if err := r.process.Kill(); err != nil {
		return err
	}
	r.cancel = nil
	<-r.done
	return nil
}

// freezeTimeout is how long a VM's process may run on after the signal that stops it.
const freezeTimeout = 10 * time.Second

// Freeze stops a VM's process without ending it, and waits until it is stopped; Thaw lets it go on.
func (f *Fleet) Freeze(name string) error {
	p := f.vms[name].process
	if err := p.Signal(syscall.SIGSTOP); err != nil {
		return err
	}
	return procstate.AwaitStopped(p.Pid, freezeTimeout)
}

// Thaw lets a frozen VM go on.
func (f *Fleet) Thaw(name string) error { return f.vms[name].process.Signal(syscall.SIGCONT) }

// LoseDisk removes the data folder of a VM that doesn't run.
func (f *Fleet) LoseDisk(name string) error { return os.RemoveAll(f.vms[name].local.Data) }

// Leader returns the VM that leads a group, as a VM sees it.
func (f *Fleet) Leader(ctx context.Context, at, group string) (string, error) {
	s, err := f.Status(ctx, at)
	if err != nil {
		return "", err
	}
	for _, v := range s.VMs {
		for _, g := range v.Groups {
			if v.Name == at && g.Group == group && g.Leader != "" {
				return g.Leader, nil
			}
		}
	}
	return "", fmt.Errorf("fleet: %s knows no leader of %s", at, group)
}
