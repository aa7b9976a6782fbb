// Package examples embeds the example files that the development deployment
// starts with.
package examples

import _ "embed"

// DevBundle is the unsigned bundle of the development deployment.
//
//go:embed dev-bundle.yaml
var DevBundle []byte
