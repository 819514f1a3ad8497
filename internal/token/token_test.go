package token

import (
	"bytes"
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/golang-jwt/jwt/v5"
)

func testKey(kid string, b byte) Key { return NewKey(kid, bytes.Repeat([]byte{b}, 32)) }

func testClaims(at time.Time) Claims {
	return Claims{Title: "t", Class: "c", MaxRung: 3, RegisteredClaims: jwt.RegisteredClaims{Subject: "v", ID: "j",
		IssuedAt: jwt.NewNumericDate(at), ExpiresAt: jwt.NewNumericDate(at.Add(time.Minute))}}
}

func TestCheck(t *testing.T) {
	now := time.Now()
	a, b := testKey("a", 1), testKey("b", 2)
	raw, err := a.Sign(testClaims(now))
	if err != nil {
		t.Fatal(err)
	}
	byB, _ := b.Sign(testClaims(now))
	swapped := raw[:strings.LastIndexByte(raw, '.')] + byB[strings.LastIndexByte(byB, '.'):]
	unsigned := jwt.NewWithClaims(jwt.SigningMethodNone, &Claims{})
	unsigned.Header["kid"] = "a"
	rawUnsigned, _ := unsigned.SignedString(jwt.UnsafeAllowNoneSignatureType)
	hmacSigned := jwt.NewWithClaims(jwt.SigningMethodHS256, jwt.MapClaims{"jti": "j"})
	hmacSigned.Header["kid"] = "a"
	rawHMAC, _ := hmacSigned.SignedString([]byte(a.Public))
	noJTI := jwt.NewWithClaims(jwt.SigningMethodEdDSA,
		jwt.MapClaims{"sub": "v", "title": "t", "class": "c", "exp": 9e9, "iat": 1})
	noJTI.Header["kid"] = "a"
	rawNoJTI, _ := noJTI.SignedString(a.Private)
	early := testClaims(now)
	early.NotBefore = jwt.NewNumericDate(now.Add(time.Minute))
	rawNotBefore, _ := a.Sign(early)
	future := testClaims(now.Add(time.Hour))
	rawIssuedLater, _ := a.Sign(future)
	c := NewChecker([]Key{a}, 8, time.Second)
	for name, x := range map[string]struct {
		raw string
		at  time.Time
		err error
	}{
		"good":              {raw, now, nil},
		"within the leeway": {raw, now.Add(time.Minute + 900*time.Millisecond), nil},
		"expired":           {raw, now.Add(time.Minute + time.Second), ErrExpired},
		"missing":           {"", now, ErrMissing},
		"not a token":       {"a.b.c", now, ErrInvalid},
		"unknown key":       {byB, now, ErrUnknownKey},
		"signature swapped": {swapped, now, ErrInvalid},
		"no signature":      {rawUnsigned, now, ErrInvalid},
		"HMAC with the key": {rawHMAC, now, ErrInvalid},
		"no jti":            {rawNoJTI, now, ErrInvalid},
		"not before":        {rawNotBefore, now, ErrNotYetValid},
		"issued in an hour": {rawIssuedLater, now, ErrNotYetValid},
		"longer than 4096":  {strings.Repeat("a", 5000), now, ErrInvalid},
	} {
		for i := range 3 { // the second time from the cache, if the token is cached; the third time in a pool
			got, err := c.Check(x.raw, x.at)
			if i == 2 {
				got, err = checkInPool(c, x.raw, x.at)
			}
			if !errors.Is(err, x.err) || (x.err == nil) != (got != nil) {
				t.Errorf("%s: %v, want %v", name, err, x.err)
			}
		}
	}
	got, _ := c.Check(raw, now)
	if got.ID != "j" || got.MaxRung != 3 || got.AgeMs(now.Add(time.Second)) < 999 || got.TTLMs(now) > 60000 {
		t.Errorf("claims %+v", got)
	}
}

// checkInPool checks a token in a pool, with an empty cache.
func checkInPool(c *Checker, raw string, now time.Time) (*Claims, error) {
	type result struct {
		claims *Claims
		err    error
	}
	ch := make(chan result, 1)
	p := NewPool(2, 4, func(f func()) { f() })
	defer p.Close()
	fresh := NewChecker(nil, 4, c.leeway)
	fresh.keys = c.keys
	fresh.VerifyAsync(p, raw, func(k *Claims, err error) { ch <- result{k, err} })
	r := <-ch
	if r.err == nil {
		if r.err = fresh.CheckTimes(r.claims, now); r.err != nil {
			r.claims = nil
		}
	}
	return r.claims, r.err
}

// A token is rejected if its key is removed while it is being verified, and VerifyAsync reports a full queue.
func TestPoolKeyRemovalAndFullQueue(t *testing.T) {
	now := time.Now()
	a := testKey("a", 1)
	raw, _ := a.Sign(testClaims(now))
	c := NewChecker([]Key{a}, 8, 0)
	var posted []func()
	callbacks := make(chan func(), 8)
	p := NewPool(1, 1, func(f func()) { callbacks <- f })
	var got error
	if !c.VerifyAsync(p, raw, func(_ *Claims, err error) { got = err }) {
		t.Fatal("Begin reported a full queue, but it is empty")
	}
	posted = append(posted, <-callbacks)
	c.SetKeys(nil)
	posted[0]()
	if !errors.Is(got, ErrUnknownKey) || c.CacheLen() != 0 {
		t.Errorf("after the key was removed: %v, %d cached", got, c.CacheLen())
	}
	p.Close()
	noWorkers := &Pool{jobs: make(chan job, 1)} // no worker
	if !c.VerifyAsync(noWorkers, raw, nil) || c.VerifyAsync(noWorkers, raw, nil) {
		t.Error("a queue of one accepted none, or two")
	}
}

func TestRotation(t *testing.T) {
	now := time.Now()
	a, b := testKey("a", 1), testKey("b", 2)
	rawA, _ := a.Sign(testClaims(now))
	rawB, _ := b.Sign(testClaims(now))
	c := NewChecker([]Key{a, b}, 8, 0)
	for _, raw := range []string{rawA, rawB} {
		if _, err := c.Check(raw, now); err != nil {
			t.Fatal(err)
		}
	}
	c.SetKeys([]Key{b})
	if _, err := c.Check(rawA, now); !errors.Is(err, ErrUnknownKey) {
		t.Errorf("a token of a removed key is still accepted from the cache: %v", err)
	}
	if _, err := c.Check(rawB, now); err != nil {
		t.Error(err)
	}
}

func TestCacheIsBounded(t *testing.T) {
	now := time.Now()
	a := testKey("a", 1)
	c := NewChecker([]Key{a}, 4, 0)
	for i := range 40 {
		x := testClaims(now)
		x.ID = strings.Repeat("j", i+1)
		raw, _ := a.Sign(x)
		if _, err := c.Check(raw, now); err != nil {
			t.Fatal(err)
		}
		if c.CacheLen() > 8 {
			t.Fatalf("%d tokens cached", c.CacheLen())
		}
	}
}

func TestParseAndFormatKeys(t *testing.T) {
	a, b := testKey("a", 1), testKey("b", 2)
	got, err := ParseKeys(FormatKeys([]Key{a, b}, true))
	if err != nil || len(got) != 2 || !got[0].Private.Equal(a.Private) || !got[1].Public.Equal(b.Public) {
		t.Fatalf("%v %v", got, err)
	}
	public := FormatKeys([]Key{a}, false)
	if bytes.Contains(public, []byte(`"d"`)) {
		t.Fatal("the private part is in the public set")
	}
	got, _ = ParseKeys(public)
	if _, err := got[0].Sign(testClaims(time.Now())); err == nil {
		t.Error("signed without a private key")
	}
	for name, text := range map[string]string{
		"no JSON":        "{",
		"none":           `{"keys":[]}`,
		"other kinds":    `{"keys":[{"kty":"RSA","kid":"x"}]}`,
		"no kid":         `{"keys":[{"kty":"OKP","crv":"Ed25519","x":"` + strings.Repeat("A", 43) + `"}]}`,
		"short":          `{"keys":[{"kty":"OKP","crv":"Ed25519","kid":"x","x":"AAAA"}]}`,
		"twice one kid":  string(FormatKeys([]Key{a, a}, false)),
		"not a key pair": strings.Replace(string(FormatKeys([]Key{a}, true)), `"d": "`, `"d": "B`, 1),
	} {
		if _, err := ParseKeys([]byte(text)); err == nil {
			t.Errorf("%s: accepted", name)
		}
	}
}

func FuzzCheck(f *testing.F) {
	a := testKey("a", 1)
	// A fixed time, since the fuzzer's worker processes create the token again.
	raw, _ := a.Sign(testClaims(time.Unix(1.8e9, 0)))
	f.Add(raw)
	f.Add("..")
	f.Add("eyJhbGciOiJub25lIn0.e30.")
	f.Fuzz(func(t *testing.T, s string) {
		c := NewChecker([]Key{a}, 8, time.Hour*24*365*100)
		got, err := c.Check(s, time.Now())
		if err == nil && (s != raw || got.ID != "j") {
			t.Fatalf("a token without a valid signature was accepted: %q", s)
		}
	})
}

func BenchmarkCheckUncached(b *testing.B) {
	a := testKey("a", 1)
	raw, _ := a.Sign(testClaims(time.Now()))
	c := NewChecker([]Key{a}, 8, time.Hour)
	b.ReportAllocs()
	for b.Loop() {
		c.SetKeys([]Key{a})
		if _, err := c.Check(raw, time.Now()); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkCheckCached(b *testing.B) {
	a := testKey("a", 1)
	raw, _ := a.Sign(testClaims(time.Now()))
	c := NewChecker([]Key{a}, 8, time.Hour)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := c.Check(raw, time.Now()); err != nil {
			b.Fatal(err)
		}
	}
}
