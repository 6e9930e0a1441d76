// Package daemon joins the duties of one yuccaport process beside a backend server.
package daemon
