package main

import (
	"crypto/x509"
	"encoding/pem"

	"github.com/cockroachdb/errors"

	"github.com/pewtermill/pewtermill/internal/command"
	"github.com/pewtermill/pewtermill/internal/command/devcluster"
)

// reviewerKeyCommand prints a private key that is public by design, so that
// the example bundles can be signed. Keys of real bundles come from
// `bundle keygen`.
type reviewerKeyCommand struct {
	Reviewer string `arg:"" help:"Name of the reviewer, such as dev-reviewer."`
}

// Run implements the verb.
func (r *reviewerKeyCommand) Run(streams command.Streams) error {
	encoded, err := x509.MarshalPKCS8PrivateKey(devcluster.ReviewerKey(r.Reviewer))
	if err != nil {
		return errors.Wrap(err, "encode key")
	}
	block := &pem.Block{Type: "PRIVATE KEY", Bytes: encoded}
	return errors.Wrap(pem.Encode(streams.Out, block), "print key")
}
