// Package cut logs and counts requests that end before their caller has the whole answer: how far each has come, and who ended it.
package cut
