// Package status gathers what every daemon says of itself over a tree of daemons.
package status
