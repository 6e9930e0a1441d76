// Package load sends open-loop HTTP load to proxies that run already, and reports latencies and outcomes.
package load
