package cli

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"net/url"
	"os"
	"strconv"
	"strings"
	"text/tabwriter"

	"github.com/google/uuid"
	"github.com/integrii/flaggy"

	"persimmoncross/io/transport/operator"
)

// Where an operator's key is looked for.
const (
	keyVariable     = "PERSIMMONCROSS_KEY"
	exampleKeyFile  = "examples/local/operator.key"
	defaultOperator = "127.0.0.1:18090"
)

// target is the operators' API that a subcommand calls.
type target struct {
	operator string
	keyFile  string
	json     bool
}

func (t *target) attach(s *flaggy.Subcommand) {
	t.operator = defaultOperator
	s.String(&t.operator, "o", "operator", "operator address of any VM")
	s.String(&t.keyFile, "k", "key-file", "file with the operator's key; else "+keyVariable+", else on loopback "+exampleKeyFile)
	s.Bool(&t.json, "j", "json", "print JSON")
}

func (t *target) client() (*operator.Client, error) {
	address, err := netip.ParseAddrPort(t.operator)
	if err != nil {
		return nil, fmt.Errorf("--operator: %w", err)
	}
	key := os.Getenv(keyVariable)
	path := t.keyFile
	if path == "" && key == "" && address.Addr().IsLoopback() {
		path = exampleKeyFile
	}
	if path != "" {
		data, err := os.ReadFile(path)
		if err != nil {
			return nil, fmt.Errorf("the operator's key: %w", err)
		}
		key = strings.TrimSpace(string(data))
	}
	if key == "" {
		return nil, errors.New("the operator's key is missing: give --key-file or set " + keyVariable)
	}
	return &operator.Client{
		Address: address,
		Key:     key,
	}, nil
}

// get fetches a path.
func (t *target) get(ctx context.Context, path string, query url.Values, result any) error {
	c, err := t.client()
	if err != nil {
		return err
	}
	return c.Get(ctx, path, query, result)
}

// post sends a change.
func (t *target) post(ctx context.Context, path string, query url.Values, body []byte, result any) error {
	c, err := t.client()
	if err != nil {
		return err
	}
	return c.Post(ctx, path, query, body, result)
}

// change is what all changes of the settings share.
type change struct {
	target
	id       string
	revision string
}

func (c *change) attach(s *flaggy.Subcommand) {
	c.target.attach(s)
	s.String(&c.id, "c", "change", "the change's ID: sent again, it is accepted once; made up if left out")
	s.String(&c.revision, "r", "if-revision", "refuse unless this is the current revision")
}

func (c *change) send(ctx context.Context, e *environment, path string, body []byte) error {
	if c.id == "" {
		c.id = uuid.NewString()
	}
	query := url.Values{
		"change": {c.id},
	}
	if c.revision != "" {
		query.Set("if-revision", c.revision)
	}
	var result operator.ApplyResult
	if err := c.post(ctx, path, query, body, &result); err != nil {
		return fmt.Errorf("change %s: %w", c.id, err)
	}
	if c.json {
		return printJSON(e.out, result)
	}
	fmt.Fprintf(e.out, "revision %d accepted (change %s), in force at %s after %.3f s\n", result.Revision, result.Change, strings.Join(result.InForce, ", "), result.Took)
	if len(result.Waiting) > 0 {
		fmt.Fprintf(e.out, "not heard from: %s; each takes it over before it takes new work again\n", strings.Join(result.Waiting, ", "))
	}
	return nil
}

// order sends a change about what bears the name.
func (c *change) order(ctx context.Context, e *environment, verb, name string) error {
	return c.send(ctx, e, "/v1/"+verb+"/"+url.PathEscape(name), nil)
}

// apply takes a settings file into force.
type apply struct {
	change
	file string
}

func (c *apply) attach() *flaggy.Subcommand {
	s := subcommand("apply", "Take a settings file into force everywhere.", "persimmoncross apply fleet.jsonc --if-revision 7 --change pr-1234")
	c.change.attach(s)
	s.AddPositionalValue(&c.file, "FILE", 1, true, "the settings file")
	return s
}

func (c *apply) run(ctx context.Context, e *environment) error {
	_, source, err := parseFile(c.file)
	if err != nil {
		return err
	}
	return c.send(ctx, e, "/v1/settings", source)
}

// withdraw withdraws a version.
type withdraw struct {
	change
	version string
}

func (c *withdraw) attach() *flaggy.Subcommand {
	s := subcommand("withdraw", "Withdraw a version: it gets no new work. It stays withdrawn whatever is applied later.", "persimmoncross withdraw small@2")
	c.change.attach(s)
	s.AddPositionalValue(&c.version, "MODEL@VERSION", 1, true, "the version")
	return s
}

func (c *withdraw) run(ctx context.Context, e *environment) error {
	return c.order(ctx, e, "withdraw", c.version)
}

// drain keeps new work from a VM.
type drain struct {
	change
	vm   string
	undo bool
}

func (c *drain) attach() *flaggy.Subcommand {
	s := subcommand("drain", "Keep new work from a VM; what runs there goes on.", "persimmoncross drain vm-a")
	c.change.attach(s)
	s.AddPositionalValue(&c.vm, "VM", 1, true, "the VM's name")
	s.Bool(&c.undo, "u", "undo", "let it take work again")
	return s
}

func (c *drain) run(ctx context.Context, e *environment) error {
	if c.undo {
		return c.order(ctx, e, "undrain", c.vm)
	}
	return c.order(ctx, e, "drain", c.vm)
}

// evacuate keeps new work from the upstreams of a data centre.
type evacuate struct {
	change
	dataCentre string
	end        bool
}

func (c *evacuate) attach() *flaggy.Subcommand {
	s := subcommand("evacuate", "Keep new work from all upstreams of a data centre; what runs there goes on.", "persimmoncross evacuate zarqa")
	c.change.attach(s)
	s.AddPositionalValue(&c.dataCentre, "DATACENTRE", 1, true, "the data centre")
	s.Bool(&c.end, "e", "end", "let its upstreams take work again")
	return s
}

func (c *evacuate) run(ctx context.Context, e *environment) error {
	if c.end {
		return c.order(ctx, e, "readmit", c.dataCentre)
	}
	return c.order(ctx, e, "evacuate", c.dataCentre)
}

// repair replaces a lost voter.
type repair struct {
	target
	lost string
	with string
}

func (c *repair) attach() *flaggy.Subcommand {
	s := subcommand("repair", "Replace a voter whose disk was lost, once its VM is back with an empty data folder.", "persimmoncross repair --lost vm-c")
	c.target.attach(s)
	s.String(&c.lost, "l", "lost", "the VM whose disk was lost")
	s.String(&c.with, "w", "with", "the VM that takes the vote; the same one if left out")
	return s
}

func (c *repair) run(ctx context.Context, e *environment) error {
	query := url.Values{
		"lost": {c.lost},
		"with": {c.with},
	}
	var result operator.StatusResult
	if err := c.post(ctx, "/v1/repair", query, nil, &result); err != nil {
		return err
	}
	return showStatus(e, c.json, result)
}

// status shows the fleet.
type status struct {
	target
}

func (c *status) attach() *flaggy.Subcommand {
	s := subcommand("status", "Show VMs, voters, leaders, revisions in force, upstreams and roll-outs.", "persimmoncross status --json")
	c.target.attach(s)
	return s
}

func (c *status) run(ctx context.Context, e *environment) error {
	var result operator.StatusResult
	if err := c.get(ctx, "/v1/status", nil, &result); err != nil {
		return err
	}
	return showStatus(e, c.json, result)
}

func showStatus(e *environment, asJSON bool, r operator.StatusResult) error {
	if asJSON {
		return printJSON(e.out, r)
	}
	w := tabwriter.NewWriter(e.out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "revision %d, withdrawn: %s, drained: %s, evacuated: %s\n\n", r.Revision, listOrNone(r.Withdrawn), listOrNone(r.Drained), listOrNone(r.Evacuated))
	fmt.Fprintln(w, "VM\tDATA CENTRE\tREACHABLE\tREVISION\tLEASE\tGROUP\tROLE\tTERM\tAPPLIED\tVOTERS")
	for _, v := range r.VMs {
		fmt.Fprintf(w, "%s\t%s\t%t\t%d\t%t", v.Name, v.DataCentre, v.Reachable, v.Revision, v.Lease)
		for i, g := range v.Groups {
			if i > 0 {
				fmt.Fprint(w, "\n\t\t\t\t")
			}
			fmt.Fprintf(w, "\t%s\t%s\t%d\t%d\t%s", g.Group, g.Role, g.Term, g.Applied, strings.Join(g.Voters, ","))
		}
		fmt.Fprintln(w)
	}
	fmt.Fprintln(w, "\nUPSTREAM\tKIND\tDATA CENTRE\tADDRESS\tLEAVING\tBROKEN\tIN FLIGHT\tVERSIONS")
	for _, u := range r.Upstreams {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%t\t%t\t%d\t%s\n", u.Name, u.Kind, u.DataCentre, u.Address, u.Leaving, u.Broken, u.InFlight, strings.Join(u.Versions, ","))
	}
	fmt.Fprintln(w, "\nROLL-OUT\tTO\tSTAGE\tSHARE\tVERDICT")
	for _, o := range r.Rollouts {
		fmt.Fprintf(w, "%s\t%s\t%d\t%d%%\t%s\n", o.Name, o.To, o.Stage, o.Share, orNone(o.Verdict+" "+o.Reason))
	}
	return w.Flush()
}

func listOrNone(list []string) string {
	if len(list) == 0 {
		return "none"
	}
	return strings.Join(list, " ")
}

// bills lists settled requests.
type bills struct {
	target
	after int
}

func (c *bills) attach() *flaggy.Subcommand {
	s := subcommand("bills", "List settled requests in the order of settlement.", "persimmoncross bills --after 1200 --json")
	c.target.attach(s)
	s.Int(&c.after, "a", "after", "only those after this serial number")
	return s
}

func (c *bills) run(ctx context.Context, e *environment) error {
	var list []operator.BillResult
	query := url.Values{
		"after": {strconv.Itoa(c.after)},
	}
	if err := c.get(ctx, "/v1/bills", query, &list); err != nil {
		return err
	}
	if c.json {
		return printJSON(e.out, list)
	}
	w := tabwriter.NewWriter(e.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "SERIAL\tORGANISATION\tREQUEST\tOUTCOME\tVERSION\tINPUT\tOUTPUT")
	for _, b := range list {
		for _, n := range b.Lines {
			fmt.Fprintf(w, "%d\t%s\t%s\t%s\t%s\t%d\t%d\n", b.Serial, b.Organisation, b.Request, b.Outcome, n.Version, n.Input, n.Output)
		}
	}
	return w.Flush()
}
