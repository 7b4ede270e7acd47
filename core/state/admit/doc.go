// Package admit decides which calls a node admits under overload, by class and team, and in which order queued calls run.
package admit
