// Package tenants identifies the tenant of a request by its key and limits the requests of tenants over
// all agents.
package tenants
