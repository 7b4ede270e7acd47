// Package decl decodes and checks the operators' declarations and the host list, and indexes them for the request path.
package decl
