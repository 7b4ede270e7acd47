// Package inlet frames the requests on a connection below net/http: it hands net/http one request at a time and holds back
// the head of a request until it is complete. While net/http serves a request, the connection is read on, so that further
// requests of the caller become known and its leaving is noticed although they wait.
package inlet
