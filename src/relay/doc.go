// Package relay carries accepted configuration versions from the store to every daemon.
package relay
