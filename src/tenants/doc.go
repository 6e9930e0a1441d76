// Package tenants identifies the tenant of a request by its key.
package tenants
