package iax2

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"strconv"
	"time"
)

// tokenMint makes and checks call tokens without keeping any: a token is a time and a keyed digest of it and
// of the address that it was sent to, so that only who receives at that address can use it.
type tokenMint struct {
	key  [32]byte
	life time.Duration
}

const (
	tokenTime = 8
	tokenSize = tokenTime + 16
)

func (m *tokenMint) init(c Config) {
	m.life = c.TokenLifetime
	for i := 0; i < len(m.key); i += 8 {
		binary.LittleEndian.PutUint64(m.key[i:], c.Random())
	}
}

func (m *tokenMint) mint(now time.Duration, to Addr) []byte {
	token := binary.BigEndian.AppendUint64(make([]byte, 0, tokenSize), uint64(now))
	return append(token, m.digest(token, to)...)
}

func (m *tokenMint) digest(at []byte, to Addr) []byte {
	h := hmac.New(sha256.New, m.key[:])
	h.Write(at)
	h.Write(to.IP[:])
	h.Write([]byte{byte(to.Port >> 8), byte(to.Port)})
	return h.Sum(nil)[:tokenSize-tokenTime]
}

func (m *tokenMint) valid(now time.Duration, from Addr, token []byte) bool {
	if len(token) != tokenSize {
		return false
	}
	at := time.Duration(binary.BigEndian.Uint64(token))
	return at <= now && now-at <= m.life && hmac.Equal(token[tokenTime:], m.digest(token[:tokenTime], from))
}

// challengeText is a challenge in digits.
func challengeText(random uint64) string { return strconv.FormatUint(random>>4, 10) }
