// Package sessionv1 holds the generated protobuf messages of the session API.
package sessionv1
