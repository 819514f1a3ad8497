// Package operatorv1 holds the generated gRPC code of the operators' API.
package operatorv1
