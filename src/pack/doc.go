// Package pack compresses the messages that carry configuration between daemons.
package pack
