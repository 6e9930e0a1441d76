// Package examples holds the sample documents and settings of both deployments.
package examples

import "embed"

// Files holds hollins/*.toml and puntarenas/*.toml.
//
//go:embed hollins/*.toml puntarenas/*.toml
var Files embed.FS
