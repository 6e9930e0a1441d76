// Package document parses and validates service configuration documents: the TOML file in which a team configures its service.
package document
