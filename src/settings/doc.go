// Package settings reads and checks the TOML settings of a daemon.
package settings
