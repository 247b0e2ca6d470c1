// Package settings reads and checks the settings file of a process.
package settings
