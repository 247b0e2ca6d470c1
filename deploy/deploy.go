// Package deploy carries the example files that programs bring along.
package deploy

import _ "embed"

// Catalogue is the example description, catalogue.yaml.
//
//go:embed catalogue.yaml
var Catalogue []byte
