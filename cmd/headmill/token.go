package main

import (
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/golang-jwt/jwt/v5"

	"headmill/internal/token"
)

type tokenCmd struct {
	Keys    keysCmd    `cmd:"" help:"Make a key pair; the private set goes to FILE, the public set to FILE.pub."`
	Mint    mintCmd    `cmd:"" help:"Make a session token."`
	Inspect inspectCmd `cmd:"" help:"Show a token's claims and, with --keys, whether it is valid."`
}

type keysCmd struct {
	File string `arg:"" help:"File for the private key set; the public one gets the suffix .pub."`
	KID  string `default:"k1" help:"Name of the key."`
	Add  bool   `help:"Add the key to existing sets, for a rotation; the new key signs from now on."`
}

// Run makes a key pair and writes the private and the public key set.
func (c *keysCmd) Run() error {
	var keys []token.Key
	if c.Add {
		var err error
		if keys, err = loadKeys(c.File); err != nil {
			return err
		}
	} else if _, err := os.Stat(c.File); err == nil {
		return fmt.Errorf("%s exists already; use --add to add a key to it", c.File)
	}
	seed := make([]byte, 32)
	if _, err := rand.Read(seed); err != nil {
		return err
	}
	keys = append([]token.Key{token.NewKey(c.KID, seed)}, keys...)
	private := token.FormatKeys(keys, true)
	if _, err := token.ParseKeys(private); err != nil {
		return err
	}
	if err := os.WriteFile(c.File, private, 0o600); err != nil {
		return err
	}
	return os.WriteFile(c.File+".pub", token.FormatKeys(keys, false), 0o644)
}

type mintCmd struct {
	Keys     string        `required:"" help:"Private key set."`
	KID      string        `help:"Key to sign with; by default the first one of the set."`
	Title    string        `required:"" help:"Title."`
	Class    string        `required:"" help:"Class of the title."`
	Viewer   string        `default:"viewer" help:"Viewer (sub)."`
	Tenant   string        `name:"brand" help:"Brand (the tenant)."`
	MaxRung  int           `name:"top" default:"63" help:"Highest rung that the viewer can use, counted from 0."`
	JTI      string        `help:"Token id, which stands for one session; random by default."`
	ValidFor time.Duration `name:"for" default:"10m" help:"Validity period."`
}

// Run signs a new session token and prints it.
func (c *mintCmd) Run() error {
	keys, err := loadKeys(c.Keys)
	if err != nil {
		return err
	}
	for _, key := range keys {
		if c.KID != "" && key.KID != c.KID {
			continue
		}
		raw, err := key.Sign(claimsFor(c.Title, c.Class, c.Viewer, c.Tenant, c.JTI, c.MaxRung, c.ValidFor))
		if err != nil {
			return err
		}
		fmt.Println(raw)
		return nil
	}
	return fmt.Errorf("%s has no key %q", c.Keys, c.KID)
}

// claimsFor returns the claims of a token that is valid from now on. An empty jti is replaced by a random one.
func claimsFor(title, class, viewer, tenant, jti string, maxRung int, validFor time.Duration) token.Claims {
	if jti == "" {
		var id [12]byte
		rand.Read(id[:])
		jti = hex.EncodeToString(id[:])
	}
	now := time.Now()
	return token.Claims{Title: title, Class: class, Tenant: tenant, MaxRung: maxRung,
		RegisteredClaims: jwt.RegisteredClaims{Subject: viewer, ID: jti,
			IssuedAt: jwt.NewNumericDate(now), ExpiresAt: jwt.NewNumericDate(now.Add(validFor))}}
}

type inspectCmd struct {
	Token string `arg:"" help:"The token."`
	Keys  string `help:"Key set to check it with."`
}

// Run prints a token's header and claims and, with a key set, checks its signature and times.
func (c *inspectCmd) Run() error {
	var claims token.Claims
	parsed, _, err := jwt.NewParser().ParseUnverified(strings.TrimSpace(c.Token), &claims)
	if err != nil {
		return err
	}
	text, _ := json.MarshalIndent(map[string]any{"header": parsed.Header, "claims": claims}, "", "  ")
	fmt.Println(string(text))
	if claims.ExpiresAt != nil {
		fmt.Printf("expires in %s\n", time.Until(claims.ExpiresAt.Time).Round(time.Second))
	}
	if c.Keys == "" {
		fmt.Println("signature not checked: give --keys")
		return nil
	}
	keys, err := loadKeys(c.Keys)
	if err != nil {
		return err
	}
	if _, err := token.NewChecker(keys, 1, 0).Check(strings.TrimSpace(c.Token), time.Now()); err != nil {
		return errors.Join(errors.New("the token is not valid"), err)
	}
	fmt.Println("the token holds")
	return nil
}
