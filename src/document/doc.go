// Package document reads and checks the one document that a team writes for its service.
package document
