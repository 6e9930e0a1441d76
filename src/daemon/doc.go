// Package daemon is the sidecar process: it assembles and runs the components of yuccaport that serve one backend server.
package daemon
