package iax2

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"strconv"
	"time"
)

// tokenIssuer issues and verifies call tokens without storing them. A token consists of a time and a keyed
// digest of that time and of the address it was sent to, so it is valid only for a host that receives at that
// address.
type tokenIssuer struct {
	key      [32]byte
	lifetime time.Duration
}

const (
	tokenTimeSize = 8
	tokenSize     = tokenTimeSize + 16
)

func (t *tokenIssuer) init(c Config) {
	t.lifetime = c.TokenLifetime
	for i := 0; i < len(t.key); i += 8 {
		binary.LittleEndian.PutUint64(t.key[i:], c.Random())
	}
}

func (t *tokenIssuer) issue(now time.Duration, to Addr) []byte {
	token := binary.BigEndian.AppendUint64(make([]byte, 0, tokenSize), uint64(now))
	return append(token, t.digest(token, to)...)
}

func (t *tokenIssuer) digest(at []byte, to Addr) []byte {
	h := hmac.New(sha256.New, t.key[:])
	h.Write(at)
	h.Write(to.IP[:])
	h.Write([]byte{byte(to.Port >> 8), byte(to.Port)})
	return h.Sum(nil)[:tokenSize-tokenTimeSize]
}

func (t *tokenIssuer) valid(now time.Duration, from Addr, token []byte) bool {
	if len(token) != tokenSize {
		return false
	}
	at := time.Duration(binary.BigEndian.Uint64(token))
	return at <= now && now-at <= t.lifetime && hmac.Equal(token[tokenTimeSize:], t.digest(token[:tokenTimeSize], from))
}

// challengeText returns a challenge as decimal digits.
func challengeText(random uint64) string { return strconv.FormatUint(random>>4, 10) }
