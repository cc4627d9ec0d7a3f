package standin

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/integrii/flaggy"
)

// options are the command's flags.
type options struct {
	Kind      string
	Listen    string
	Versions  string
	Slots     int
	TokenTime time.Duration
	Prefill   time.Duration
	Fencing   bool
}

// Main runs the command and returns its exit code.
func Main(args []string) int {
	o := options{
		TokenTime: 200 * time.Microsecond,
		Prefill:   2 * time.Millisecond,
	}
	p := flaggy.NewParser("standin")
	p.Description = "Plays an engine, a plain service, the rater, the weight store or the platform's list."
	p.DisableShowVersionWithVersion()
	p.AdditionalHelpAppend = "\nExample:\n  standin --kind engine --listen 127.0.0.1:18100 --versions small@1,small@2"
	p.String(&o.Kind, "k", "kind", "engine, service, rater, weights or platform")
	p.String(&o.Listen, "l", "listen", "address to listen on")
	p.String(&o.Versions, "v", "versions", "an engine's versions, with commas between")
	p.Int(&o.Slots, "s", "slots", "requests an engine serves at once")
	p.Duration(&o.TokenTime, "t", "token-time", "an engine's time between tokens")
	p.Duration(&o.Prefill, "p", "prefill", "an engine's time for each uncached KiB of prompt")
	p.Bool(&o.Fencing, "f", "fencing", "an engine that refuses old fencing numbers")
	if err := p.ParseArgs(args); err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		return 2
	}
	handler, err := o.handler()
	if err == nil {
		err = serve(o.Listen, handler)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		return 1
	}
	return 0
}

func (o *options) handler() (http.Handler, error) {
	switch o.Kind {
	case "engine":
		e := &Engine{
			Versions:  strings.Split(o.Versions, ","),
			Slots:     o.Slots,
			TokenTime: o.TokenTime,
			Prefill:   o.Prefill,
			Fencing:   o.Fencing,
		}
		return e.Handler(), nil
	case "service":
		return (&Service{}).Handler(), nil
	case "rater":
		return (&Rater{}).Handler(), nil
	case "weights":
		return (&Weights{}).Handler(), nil
	case "platform":
		return (&Platform{}).Handler(), nil
	}
	return nil, fmt.Errorf("want a --kind of engine, service, rater, weights or platform, found %q", o.Kind)
}

func serve(address string, handler http.Handler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	s := &http.Server{
		Handler: handler,
	}
	go func() {
		<-ctx.Done()
		s.Close()
	}()
	if err := s.Serve(listener); err != http.ErrServerClosed {
		return err
	}
	return nil
}
