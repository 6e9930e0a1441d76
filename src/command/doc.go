// Package command is yuccaport's command line.
package command
