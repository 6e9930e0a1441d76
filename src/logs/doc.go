// Package logs makes the logr logger that every part of yuccaport writes to.
package logs
