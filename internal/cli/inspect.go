package cli

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/juju/errors"

	"github.com/agatestep/agatestep/internal/admin"
)

type statusCmd struct{}

// Run prints the status of a daemon.
func (c *statusCmd) Run(s *invocation) error {
	client, err := s.adminClient()
	if err != nil {
		return err
	}
	var status admin.Status
	if err := client.Get(s.ctx, "/v1/status", &status); err != nil {
		return errors.WithType(err, errReadOnly)
	}
	return s.printResult(status, func(w io.Writer) { printStatus(w, status) })
}

func printStatus(w io.Writer, status admin.Status) {
	fmt.Fprintf(w, "host %s in data centre %s: session valid %v, revision %d\n",
		status.Host, status.DataCentre, status.Session.Valid, status.Session.Revision)
	if c := status.Control; c != nil {
		fmt.Fprintf(w, "control replica %s of group %q: leader %s, term %d, applied %d\n",
			c.Replica, c.Group, orNone(c.Leader), c.Term, c.Applied)
		if c.Error != "" {
			fmt.Fprintf(w, "control replica stopped: %s\n", c.Error)
		}
	}
	if len(status.DataCentresOut) > 0 {
		fmt.Fprintf(w, "data centres out: %s\n", strings.Join(status.DataCentresOut, ", "))
	}
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	defer t.Flush()
	if c := status.Control; c != nil {
		fmt.Fprintln(t, "\nCONTROL REPLICA\tVOTER")
		for _, m := range c.Members {
			fmt.Fprintf(t, "%s\t%v\n", m.Replica, m.Voter)
		}
	}
	printAllowances(t, status.Control)
	fmt.Fprintln(t, "\nSERVICE\tTEAM\tVERSION\tKEYED\tSLICES")
	for _, v := range status.Services {
		fmt.Fprintf(t, "%s\t%s\t%d\t%v\t%d\n", v.Service, v.Team, v.Version, v.Keyed, v.Slices)
	}
	fmt.Fprintln(t, "\nBACKEND SERVER\tDATA CENTRE\tDISPATCHER\tSTANDBY\tSLICES\tSTATE")
	for _, b := range status.Backends {
		fmt.Fprintf(t, "%s/%s\t%s\t%s\t%s\t%d\t%s\n",
			b.Service, b.Backend, b.DataCentre, b.Dispatcher, b.Standby, b.Slices, describeBackend(b))
	}
	fmt.Fprintln(t, "\nENTRY HOST\tDATA CENTRE\tADMIN\tOUT")
	for _, h := range status.Hosts {
		fmt.Fprintf(t, "%s\t%s\t%s\t%v\n", h.Host, h.DataCentre, h.Admin, h.Out)
	}
}

// printAllowances prints what all hosts use of allowances. Only the leader knows it.
func printAllowances(w io.Writer, c *admin.ControlStatus) {
	if c == nil || len(c.Allowances) == 0 {
		return
	}
	fmt.Fprintln(w, "\nORGANISATION\tRATE\tBURST\tUSED/S\tREFUSED/S\tLENT\tAVAILABLE")
	for _, a := range c.Allowances {
		fmt.Fprintf(w, "%s\t%g\t%g\t%.1f\t%.1f\t%d\t%.1f\n", a.Organisation, a.Rate, a.Burst, a.Used, a.Refused, a.Lent, a.Available)
	}
}

func orNone(text string) string {
	if text == "" {
		return "none"
	}
	return text
}

func describeBackend(b admin.BackendStatus) string {
	switch {
	case b.Lost:
		return "lost"
	case b.Out:
		return "out"
	default:
		return "serving"
	}
}

type explainCmd struct {
	URL     string            `arg:"" help:"HOST/PATH of the request."`
	Method  string            `help:"Method of the request." default:"GET"`
	Headers map[string]string `help:"Headers of the request, as NAME=VALUE." short:"H"`
}

// Run prints the route of a request. The error is an ErrRefused when the request
// would be refused.
func (c *explainCmd) Run(s *invocation) error {
	client, err := s.adminClient()
	if err != nil {
		return err
	}
	host, path, found := strings.Cut(c.URL, "/")
	if !found {
		return errors.WithType(errors.Errorf("%q must be HOST/PATH", c.URL), ErrRefused)
	}
	request := admin.ExplainRequest{Method: c.Method, Host: host, Path: "/" + path, Headers: c.Headers}
	var reply admin.ExplainReply
	if err := client.Post(s.ctx, "/v1/explain", request, &reply); err != nil {
		return errors.WithType(err, errReadOnly)
	}
	if err := s.printResult(reply, func(w io.Writer) { printExplanation(w, reply) }); err != nil {
		return err
	}
	if reply.Refusal != "" {
		return errors.WithType(errors.Errorf("the request would be refused: %s", reply.Refusal), ErrRefused)
	}
	return nil
}

func printExplanation(w io.Writer, r admin.ExplainReply) {
	if r.Entry != nil {
		printEntryExplanation(w, r)
		return
	}
	if r.Service == "" {
		fmt.Fprintf(w, "no service, revision %d\n", r.Revision)
		return
	}
	fmt.Fprintf(w, "service %s, idempotent %v, revision %d\n", r.Service, r.Idempotent, r.Revision)
	if r.Owner != "" {
		fmt.Fprintf(w, "key %s, slice %s (%s): backend server %s by dispatcher %s\n",
			r.Key, r.Slice, r.State, r.Owner, r.Dispatcher)
	}
	if len(r.Candidates) > 0 {
		fmt.Fprintf(w, "any of the backend servers %s\n", strings.Join(r.Candidates, ", "))
	}
}

type timelineCmd struct {
	Since uint64 `help:"Stamp after which events are shown."`
}

// Run prints the events of all daemons.
func (c *timelineCmd) Run(s *invocation) error {
	client, err := s.adminClient()
	if err != nil {
		return err
	}
	var reply admin.TimelineReply
	if err := client.Get(s.ctx, fmt.Sprintf("/v1/timeline?since=%d", c.Since), &reply); err != nil {
		return errors.WithType(err, errReadOnly)
	}
	return s.printResult(reply, func(w io.Writer) { printTimeline(w, reply) })
}

// eventTimeLayout has a fixed width, so that the columns are aligned.
const eventTimeLayout = "2006-01-02T15:04:05.000Z"

func printTimeline(w io.Writer, reply admin.TimelineReply) {
	for _, e := range reply.Events {
		fmt.Fprintf(w, "%s %d %-10s %-24s %s %s\n",
			e.Stamp.Wall().UTC().Format(eventTimeLayout), uint64(e.Stamp), e.Host, e.Kind, e.Subject, e.Detail)
	}
	if len(reply.Unreachable) > 0 {
		fmt.Fprintf(w, "missing, not reachable: %s\n", strings.Join(reply.Unreachable, ", "))
	}
}
