// Package clock waits for moments or until a context is over.
package clock
