package cli

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"github.com/integrii/flaggy"

	"persimmoncross"
	"persimmoncross/core/state/settings"
	"persimmoncross/internal/vm"
)

// serve runs one VM.
type serve struct {
	settings string
	data     string
}

func (c *serve) attach() *flaggy.Subcommand {
	s := subcommand("serve", "Run this VM until it is stopped (SIGTERM stops it gracefully).", "persimmoncross serve --settings examples/local/vm-a.jsonc")
	s.String(&c.settings, "s", "settings", "this VM's local settings file")
	s.String(&c.data, "d", "data", "the data folder, in place of the file's")
	return s
}

func (c *serve) run(ctx context.Context, e *environment) error {
	if c.settings == "" {
		return errors.New("serve: --settings FILE is missing")
	}
	local, err := readLocal(c.settings)
	if err != nil {
		return err
	}
	if c.data != "" {
		local.Data = c.data
	}
	limitMemory(local.Memory)
	v := &vm.VM{
		Local: local,
		Clock: persimmoncross.SystemClock{},
		Log:   newLog(e.err, local.Log),
	}
	return v.Run(ctx)
}

func readLocal(path string) (*settings.Local, error) {
	source, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	local, err := settings.ParseLocal(source, filepath.Dir(path))
	if err != nil {
		return nil, inFile(path, err)
	}
	return local, nil
}

// inFile puts the file's name before each mistake, as compilers do.
func inFile(path string, err error) error {
	var s *settings.Error
	if !errors.As(err, &s) || len(s.Problems) == 0 {
		return err
	}
	text := ""
	for i, p := range s.Problems {
		if i > 0 {
			text += "\n"
		}
		text += fmt.Sprintf("%s:%s", path, p)
	}
	return errors.New(text)
}
