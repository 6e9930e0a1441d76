// Package workers runs many short tasks on goroutines that are used again.
package workers
