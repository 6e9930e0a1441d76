// Package document parses and validates configuration documents: TOML files, one per service, in which a team configures its service.
package document
