package main

import (
	"encoding/base64"
	"testing"
)

// Guards against a crash of the command on a token without an expiry time.
func TestInspectTokenWithoutExpiry(t *testing.T) {
	encode := base64.RawURLEncoding.EncodeToString
	command := inspectCmd{Token: encode([]byte(`{"alg":"HS256"}`)) + "." + encode([]byte(`{"jti":"j"}`)) + "." + encode([]byte("x"))}
	if err := command.Run(); err != nil {
		t.Fatal(err)
	}
}
