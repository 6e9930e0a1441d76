// Package problem holds the typed error kinds that every part of yuccaport returns.
package problem
