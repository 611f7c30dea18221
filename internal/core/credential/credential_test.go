package credential_test

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/chiveramp/chiveramp/internal/core/credential"
)

func TestDigestDistinguishesPrefixes(t *testing.T) {
	d := credential.DigestOf("secret")
	assert.True(t, d.Equal(credential.DigestOf("secret")))
	for _, other := range []string{"", "secre", "secret1", "Secret"} {
		assert.False(t, d.Equal(credential.DigestOf(other)), other)
	}
}
