// Package deploy carries the example files that programs bring along.
package deploy

import "embed"

// Catalogue is the example description, catalogue.yaml.
//
//go:embed catalogue.yaml
var Catalogue []byte

// Runbooks are those that commands of the operators' client stand for.
//
//go:embed runbooks/swap-proxies.toml runbooks/add-proxies.toml runbooks/remove-proxies.toml
var Runbooks embed.FS
