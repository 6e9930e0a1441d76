// Package lane carries HTTP calls to the store over connections that each serve one call at a time; it never repeats a call by itself.
package lane
