package cli

import (
	"fmt"
	"io"

	"github.com/juju/errors"

	"github.com/agatestep/agatestep/internal/admin"
)

type bootstrapCmd struct {
	Replicas []string `arg:"" help:"Administration addresses of all the control replicas."`
}

// Run reads the identity of each replica and forms one group of them. It can be
// repeated after an interruption. Replicas with a log are sent the request first:
// if another replica's data folder was emptied, and so has a new identity, they
// refuse the list of members, and the emptied replica remains unchanged.
func (c *bootstrapCmd) Run(s *invocation) error {
	request := admin.BootstrapRequest{}
	var withLog, empty []string
	for _, address := range c.Replicas {
		identity, err := s.replicaIdentity(address)
		if err != nil {
			return err
		}
		if identity.Empty {
			empty = append(empty, address)
		} else {
			withLog = append(withLog, address)
		}
		request.Group = identity.Group
		identity.Empty = false
		request.Members = append(request.Members, *identity)
	}
	for _, address := range append(withLog, empty...) {
		client, err := s.adminClientFor([]string{address})
		if err != nil {
			return err
		}
		if err := client.Post(s.ctx, "/v1/bootstrap", request, &struct{}{}); err != nil {
			return errors.Annotate(err, "bootstrap")
		}
	}
	return s.printResult(request, func(w io.Writer) {
		fmt.Fprintf(w, "control group %s has %d replicas\n", request.Group, len(request.Members))
	})
}

func (s *invocation) replicaIdentity(address string) (*admin.ReplicaIdentity, error) {
	client, err := s.adminClientFor([]string{address})
	if err != nil {
		return nil, err
	}
	var identity admin.ReplicaIdentity
	if err := client.Get(s.ctx, "/v1/replica", &identity); err != nil {
		return nil, errors.WithType(err, errReadOnly)
	}
	return &identity, nil
}

type replaceCmd struct {
	Old string `help:"Replica identifier to remove, as shown by status; empty only adds the new one."`
	New string `arg:"" help:"Administration address of the empty replica."`
}

// Run adds the new replica and removes the old one. It returns only after the new
// one has the whole log and votes.
func (c *replaceCmd) Run(s *invocation) error {
	identity, err := s.replicaIdentity(c.New)
	if err != nil {
		return err
	}
	client, err := s.adminClient()
	if err != nil {
		return err
	}
	request := admin.ReplaceRequest{Old: c.Old, New: *identity}
	if err := client.Post(s.ctx, "/v1/replicas/replace", request, &struct{}{}); err != nil {
		return err
	}
	return s.printResult(identity, func(w io.Writer) {
		fmt.Fprintf(w, "replica %s on host %s is a voter\n", identity.Replica, identity.Host)
		if c.Old != "" {
			fmt.Fprintf(w, "replica %s is no member\n", c.Old)
		}
	})
}
