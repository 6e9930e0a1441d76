// Package fleetmodel runs many agents under load on a simulated clock, without network: the cores of dispatch and booking decide, and the package plays callers, delays and backend servers.
package fleetmodel
