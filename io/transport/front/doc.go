// Package front serves HTTP requests of callers, and nested calls of this host's upstream, and passes them to a
// core.EntryHandler.
package front
