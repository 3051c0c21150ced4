package console

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"
	"strconv"
	"strings"
	"time"
)

const (
	// sessionCookie is the name of the cookie with the session of an operator.
	sessionCookie = "turmericyoke_session"
	// sessionLifetime is the time after which an operator must sign in again.
	sessionLifetime = 8 * time.Hour
	// minSecretBytes is the minimum length of the secret that signs sessions.
	minSecretBytes = 32
)

// sessionSigner signs and verifies sessions. It stores none, so that every console of the fleet that has the
// same secret accepts a session.
type sessionSigner struct {
	secret []byte
	now    func() time.Time
}

// issue returns the value of the cookie for a new session of an operator.
func (s sessionSigner) issue(operator string) string {
	expiry := strconv.FormatInt(s.now().Add(sessionLifetime).Unix(), 10)
	payload := operator + "|" + expiry
	return payload + "|" + s.sign("session", payload)
}

// operatorOf returns the operator of the session in a cookie value, if its signature is valid and it hasn't
// expired.
func (s sessionSigner) operatorOf(cookie string) (string, bool) {
	payload, signature, ok := cutLastBar(cookie)
	if !ok || !hmac.Equal([]byte(signature), []byte(s.sign("session", payload))) {
		return "", false
	}
	operator, expiry, ok := cutLastBar(payload)
	if !ok {
		return "", false
	}
	expiryUnix, err := strconv.ParseInt(expiry, 10, 64)
	if err != nil || s.now().Unix() >= expiryUnix {
		return "", false
	}
	return operator, true
}

// formToken returns the token that the forms of a session contain, to protect against cross-site request
// forgery.
func (s sessionSigner) formToken(cookie string) string {
	return s.sign("form", cookie)
}

// validFormToken reports whether the token of a form is that of the session.
func (s sessionSigner) validFormToken(cookie, token string) bool {
	return hmac.Equal([]byte(token), []byte(s.formToken(cookie)))
}

// sign returns the signature of payload. The purpose is signed too, so that a form token can't serve as the
// signature of a session.
func (s sessionSigner) sign(purpose, payload string) string {
	mac := hmac.New(sha256.New, s.secret)
	mac.Write([]byte(purpose + "|" + payload))
	return hex.EncodeToString(mac.Sum(nil))
}

// cutLastBar splits text at its last "|".
func cutLastBar(text string) (before, after string, found bool) {
	i := strings.LastIndexByte(text, '|')
	if i < 0 {
		return "", "", false
	}
	return text[:i], text[i+1:], true
}
