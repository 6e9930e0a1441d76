// Package drain schedules the planned stop of a process that carries calls: each part of the process is told its moments by one Plan.
package drain
