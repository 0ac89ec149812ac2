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

// Run reads the identity of each replica and makes one group of them. It may be
// run again when it was interrupted. Replicas that have a log come first: they
// refuse a list that names an emptied data folder by its new identity, and then
// the emptied one stays untouched.
func (c *bootstrapCmd) Run(s *session) error {
	request := admin.BootstrapRequest{}
	var filled, empty []string
	for _, address := range c.Replicas {
		identity, err := s.identity(address)
		if err != nil {
			return err
		}
		if identity.Empty {
			empty = append(empty, address)
		} else {
			filled = append(filled, address)
		}
		request.Group = identity.Group
		identity.Empty = false
		request.Members = append(request.Members, *identity)
	}
	for _, address := range append(filled, empty...) {
		client, err := s.clientFor([]string{address})
		if err != nil {
			return err
		}
		if err := client.Post(s.ctx, "/v1/bootstrap", request, &struct{}{}); err != nil {
			return errors.Annotate(err, "bootstrap")
		}
	}
	return s.print(request, func(w io.Writer) {
		fmt.Fprintf(w, "control group %s has %d replicas\n", request.Group, len(request.Members))
	})
}

func (s *session) identity(address string) (*admin.ReplicaIdentity, error) {
	client, err := s.clientFor([]string{address})
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

// Run admits the new replica and removes the old one. It returns only after
// the new one holds the whole log and votes.
func (c *replaceCmd) Run(s *session) error {
	identity, err := s.identity(c.New)
	if err != nil {
		return err
	}
	client, err := s.client()
	if err != nil {
		return err
	}
	request := admin.ReplaceRequest{Old: c.Old, New: *identity}
	if err := client.Post(s.ctx, "/v1/replicas/replace", request, &struct{}{}); err != nil {
		return err
	}
	return s.print(identity, func(w io.Writer) {
		fmt.Fprintf(w, "replica %s on host %s is a voter\n", identity.Replica, identity.Host)
		if c.Old != "" {
			fmt.Fprintf(w, "replica %s is no member\n", c.Old)
		}
	})
}
