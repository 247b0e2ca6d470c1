// Package api names the paths and holds the wire forms of ctl.yaml, dir.yaml and cloud.yaml, which come first.
package api
