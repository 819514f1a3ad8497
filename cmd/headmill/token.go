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
	Keys    keysCmd    `cmd:"" help:"Make a key pair: the private set to FILE, the public set beside it."`
	Mint    mintCmd    `cmd:"" help:"Make a session token."`
	Inspect inspectCmd `cmd:"" help:"Show what a token says and, with --keys, whether it holds."`
}

type keysCmd struct {
	File string `arg:"" help:"File for the private key set; the public one gets the suffix .pub."`
	KID  string `default:"k1" help:"Name of the key."`
	Add  bool   `help:"Add to the sets that are there, for a rotation; the new key signs from now on."`
}

// Run makes a key pair.
func (c *keysCmd) Run() error {
	var keys []token.Key
	if c.Add {
		var err error
		if keys, err = loadKeys(c.File); err != nil {
			return err
		}
	} else if _, err := os.Stat(c.File); err == nil {
		return fmt.Errorf("%s is there already; --add adds a key to it", c.File)
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
	Keys   string        `required:"" help:"Private key set."`
	KID    string        `help:"Key to sign with; the first one of the set otherwise."`
	Title  string        `required:"" help:"Title."`
	Class  string        `required:"" help:"Class of the title."`
	Viewer string        `default:"viewer" help:"Viewer (sub)."`
	Brand  string        `help:"Brand."`
	Top    int           `default:"63" help:"Highest rung that the viewer can use, from 0."`
	JTI    string        `help:"Id of the one wanted session; drawn otherwise."`
	For    time.Duration `default:"10m" help:"How long it is valid."`
}

// Run prints a token.
func (c *mintCmd) Run() error {
	keys, err := loadKeys(c.Keys)
	if err != nil {
		return err
	}
	for _, k := range keys {
		if c.KID != "" && k.KID != c.KID {
			continue
		}
		raw, err := k.Mint(claimsFor(c.Title, c.Class, c.Viewer, c.Brand, c.JTI, c.Top, c.For))
		if err != nil {
			return err
		}
		fmt.Println(raw)
		return nil
	}
	return fmt.Errorf("%s has no key %q", c.Keys, c.KID)
}

func claimsFor(title, class, viewer, brand, jti string, top int, valid time.Duration) token.Claims {
	if jti == "" {
		var b [12]byte
		rand.Read(b[:])
		jti = hex.EncodeToString(b[:])
	}
	now := time.Now()
	return token.Claims{Title: title, Class: class, Tenant: brand, MaxRung: top, RegisteredClaims: jwt.RegisteredClaims{
		Subject: viewer, ID: jti, IssuedAt: jwt.NewNumericDate(now), ExpiresAt: jwt.NewNumericDate(now.Add(valid))}}
}

type inspectCmd struct {
	Token string `arg:"" help:"The token."`
	Keys  string `help:"Key set to check it with."`
}

// Run shows a token.
func (c *inspectCmd) Run() error {
	var claims token.Claims
	t, _, err := jwt.NewParser().ParseUnverified(strings.TrimSpace(c.Token), &claims)
	if err != nil {
		return err
	}
	show, _ := json.MarshalIndent(map[string]any{"header": t.Header, "claims": claims}, "", "  ")
	fmt.Println(string(show))
	if left := time.Until(claims.ExpiresAt.Time); claims.ExpiresAt != nil {
		fmt.Printf("expires in %s\n", left.Round(time.Second))
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
		return errors.Join(errors.New("the token does not hold"), err)
	}
	fmt.Println("the token holds")
	return nil
}
