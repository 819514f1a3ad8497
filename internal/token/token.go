// Package token issues and verifies session tokens: JSON Web Tokens (RFC 7519)
// signed with EdDSA over Ed25519 (RFC 8037), with keys identified by kid in a
// JSON Web Key Set (RFC 7517). Several keys are valid at a time, which allows
// rotation: publish the new key, sign with it, and remove the old key once its
// last token has expired.
//
// Its input is a raw token and the time, its output the token's claims or the
// reason for rejecting it. The package owns a bounded cache of verified
// signatures. It reads no files and no clock, and it does not decide what a
// token authorizes.
package token

import (
	"crypto/ed25519"
	"encoding/base64"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"time"

	"github.com/golang-jwt/jwt/v5"
)

// Claims holds the claims of a session token. ID (jti) identifies one requested session: presenting the token several
// times refers to the same session.
type Claims struct {
	Title  string `json:"title"`
	Class  string `json:"class"`
	Tenant string `json:"brand,omitempty"`
	// Family is the kind of player that the token was issued for, as its issuer names it.
	Family  string `json:"family,omitempty"`
	MaxRung int    `json:"top"` // highest rung that the viewer can use, from 0
	jwt.RegisteredClaims
}

// Validate checks that all required claims are present and within their bounds; the error names the first violation.
// Sign calls it before signing, the verification once the signature has been verified.
func (c *Claims) Validate() error {
	switch {
	case c.ID == "":
		return errors.New("claim jti is missing")
	case len(c.ID) > 64 || len(c.Subject) > 128 || len(c.Title) > 128 || len(c.Class) > 64 ||
		len(c.Tenant) > 64 || len(c.Family) > 64: // bytes
		return errors.New("a claim is longer than allowed")
	case c.Subject == "":
		return errors.New("claim sub (the viewer) is missing")
	case c.Title == "" || c.Class == "":
		return errors.New("claims title and class are needed")
	case c.ExpiresAt == nil || c.IssuedAt == nil:
		return errors.New("claims exp and iat are needed")
	case c.MaxRung < 0 || c.MaxRung > 63: // rungs are numbered from 0; a token can name 64 at most
		return errors.New("claim top is not a rung")
	}
	return nil
}

// The reasons for rejecting a token; the errors of Check wrap one of them.
var (
	ErrMissing     = errors.New("no session token")
	ErrInvalid     = errors.New("session token is not valid")
	ErrExpired     = errors.New("session token has expired")
	ErrNotYetValid = errors.New("session token is not valid yet")
	ErrUnknownKey  = errors.New("session token is signed with a key that is not in the key set")
)

// The precision of times in tokens is a setting of the library for the whole process. In milliseconds rather than its
// default of seconds, iat gives the exact age of the tokens that this package signs.
func init() { jwt.TimePrecision = time.Millisecond }

// Key is a key pair; Private is nil if the key can only verify signatures.
type Key struct {
	KID     string
	Public  ed25519.PublicKey
	Private ed25519.PrivateKey
}

type jwk struct {
	Kty string `json:"kty"`
	Crv string `json:"crv"`
	Kid string `json:"kid"`
	X   string `json:"x"`
	D   string `json:"d,omitempty"`
	Use string `json:"use,omitempty"`
}

type jwks struct {
	Keys []jwk `json:"keys"`
}

// ParseKeys parses a JSON Web Key Set. Keys of other types are ignored, as RFC 7517 section 5 requires.
func ParseKeys(text []byte) ([]Key, error) {
	var set jwks
	if err := json.Unmarshal(text, &set); err != nil {
		return nil, fmt.Errorf("token: key set: %w", err)
	}
	var keys []Key
	seen := map[string]bool{}
	for i, entry := range set.Keys {
		if entry.Kty != "OKP" || entry.Crv != "Ed25519" {
			continue
		}
		if entry.Kid == "" || seen[entry.Kid] {
			return nil, fmt.Errorf("token: key set: keys[%d] needs a unique kid, has %q", i, entry.Kid)
		}
		seen[entry.Kid] = true
		x, err := base64.RawURLEncoding.DecodeString(entry.X)
		if err != nil || len(x) != ed25519.PublicKeySize {
			return nil, fmt.Errorf("token: key set: key %q: x is not 32 bytes of base64url", entry.Kid)
		}
		key := Key{KID: entry.Kid, Public: x}
		if entry.D != "" {
			d, err := base64.RawURLEncoding.DecodeString(entry.D)
			if err != nil || len(d) != ed25519.SeedSize {
				return nil, fmt.Errorf("token: key set: key %q: d is not 32 bytes of base64url", entry.Kid)
			}
			key.Private = ed25519.NewKeyFromSeed(d)
			if !key.Public.Equal(key.Private.Public()) {
				return nil, fmt.Errorf("token: key set: key %q: the public part x does not match the private part d", entry.Kid)
			}
		}
		keys = append(keys, key)
	}
	if len(keys) == 0 {
		return nil, errors.New("token: key set: contains no Ed25519 key")
	}
	return keys, nil
}

// FormatKeys encodes a JSON Web Key Set, including the private parts if private is set.
func FormatKeys(keys []Key, private bool) []byte {
	set := jwks{Keys: []jwk{}}
	for _, key := range keys {
		entry := jwk{Kty: "OKP", Crv: "Ed25519", Kid: key.KID, Use: "sig", X: base64.RawURLEncoding.EncodeToString(key.Public)}
		if private && key.Private != nil {
			entry.D = base64.RawURLEncoding.EncodeToString(key.Private.Seed())
		}
		set.Keys = append(set.Keys, entry)
	}
	b, _ := json.MarshalIndent(set, "", "  ") // cannot fail: strings only
	return append(b, '\n')
}

// NewKey derives a key pair from a seed of 32 bytes.
func NewKey(kid string, seed []byte) Key {
	private := ed25519.NewKeyFromSeed(seed)
	return Key{KID: kid, Public: private.Public().(ed25519.PublicKey), Private: private}
}

// Sign validates the claims and returns them as a signed token.
func (k Key) Sign(c Claims) (string, error) {
	if k.Private == nil {
		return "", fmt.Errorf("token: key %q has no private part", k.KID)
	}
	if err := c.Validate(); err != nil {
		return "", fmt.Errorf("token: %w", err)
	}
	unsigned := jwt.NewWithClaims(jwt.SigningMethodEdDSA, &c)
	unsigned.Header["kid"] = k.KID
	return unsigned.SignedString(k.Private)
}

// keySet maps kid to public key. It is immutable once built, so goroutines can share it.
type keySet map[string]ed25519.PublicKey

// Checker verifies tokens and caches the result. It is for use by one goroutine; Pool moves the costly signature checks
// to others. The cache has two generations: entries are added to the current one, and when that is full it becomes the
// previous one, whose entries are discarded.
type Checker struct {
	keys           keySet
	keySetVersion  int // number of calls of SetKeys
	generationSize int
	current        map[string]*Claims // claims of verified tokens by raw token, newer generation
	previous       map[string]*Claims // the older generation; discarded when current is full
	leeway         time.Duration
}

// NewChecker returns a checker with a cache of at most 2 x generationSize tokens; leeway is the tolerated clock skew.
func NewChecker(keys []Key, generationSize int, leeway time.Duration) *Checker {
	c := &Checker{generationSize: max(generationSize, 1), leeway: leeway}
	c.SetKeys(keys)
	return c
}

// SetKeys replaces the key set and empties the cache, so that tokens verified with the old keys are verified again.
func (c *Checker) SetKeys(keys []Key) {
	c.keys = keySet{}
	for _, key := range keys {
		c.keys[key.KID] = key.Public
	}
	c.keySetVersion++
	c.current, c.previous = map[string]*Claims{}, nil
}

// CacheLen returns the number of cache entries; a token that is in both generations counts twice.
func (c *Checker) CacheLen() int { return len(c.current) + len(c.previous) }

// Check returns the claims of a raw token that is valid at now. The claims are shared with the cache and must not be
// modified.
func (c *Checker) Check(raw string, now time.Time) (*Claims, error) {
	claims, err := c.VerifySignature(raw)
	if err != nil {
		return nil, err
	}
	if err := c.CheckTimes(claims, now); err != nil {
		return nil, err
	}
	return claims, nil
}

// CheckTimes checks exp, nbf and iat of claims whose signature has been verified against now. iat may lie up to a minute
// plus the leeway in the future, nbf up to the leeway.
func (c *Checker) CheckTimes(claims *Claims, now time.Time) error {
	switch {
	case !now.Before(claims.ExpiresAt.Add(c.leeway)):
		return fmt.Errorf("%w: at %s", ErrExpired, claims.ExpiresAt.UTC().Format(time.RFC3339))
	case claims.NotBefore != nil && now.Add(c.leeway).Before(claims.NotBefore.Time),
		now.Add(c.leeway + time.Minute).Before(claims.IssuedAt.Time):
		return ErrNotYetValid
	}
	return nil
}

// VerifySignature returns the claims of a token whose signature is valid, without checking its times.
func (c *Checker) VerifySignature(raw string) (*Claims, error) {
	if claims := c.lookup(raw); claims != nil {
		return claims, nil
	}
	if err := checkLength(raw); err != nil {
		return nil, err
	}
	claims, err := verify(c.keys, raw)
	if err == nil {
		c.store(raw, claims)
	}
	return claims, err
}

// lookup returns the claims of a cached token, or nil. An entry of the older generation is added to the newer one.
func (c *Checker) lookup(raw string) *Claims {
	if claims := c.current[raw]; claims != nil {
		return claims
	}
	claims := c.previous[raw]
	if claims != nil {
		c.store(raw, claims)
	}
	return claims
}

func (c *Checker) store(raw string, claims *Claims) {
	if len(c.current) >= c.generationSize {
		c.previous, c.current = c.current, make(map[string]*Claims, c.generationSize)
	}
	c.current[raw] = claims
}

// checkLength rejects empty and overlong tokens before the costly signature check.
func checkLength(raw string) error {
	if raw == "" {
		return ErrMissing
	}
	if len(raw) > 4096 { // bytes
		return fmt.Errorf("%w: longer than 4096 bytes", ErrInvalid)
	}
	return nil
}

var parser = jwt.NewParser(jwt.WithValidMethods([]string{"EdDSA"}), jwt.WithoutClaimsValidation())

// verify checks the signature and the claims. It has no side effects and is safe for concurrent use.
func verify(keys keySet, raw string) (*Claims, error) {
	claims := &Claims{}
	_, err := parser.ParseWithClaims(raw, claims, func(t *jwt.Token) (any, error) {
		kid, _ := t.Header["kid"].(string)
		if k := keys[kid]; k != nil {
			return k, nil
		}
		return nil, ErrUnknownKey
	})
	if errors.Is(err, ErrUnknownKey) {
		return nil, ErrUnknownKey
	}
	if err == nil {
		err = claims.Validate()
	}
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	return claims, nil
}

// AgeMs returns the time since the token was issued, in ms; it is too high by up to a second if iat has whole seconds
// only.
func (c *Claims) AgeMs(now time.Time) float64 {
	return math.Max(0, float64(now.Sub(c.IssuedAt.Time).Microseconds())/1000)
}

// TTLMs returns the time until the token expires, in ms; 0 if it has expired.
func (c *Claims) TTLMs(now time.Time) float64 {
	return math.Max(0, float64(c.ExpiresAt.Sub(now).Microseconds())/1000)
}
