package bundlecmd

import (
	"crypto/ed25519"
	"crypto/x509"
	"encoding/json"
	"encoding/pem"
	"os"

	"github.com/cockroachdb/errors"

	"github.com/pewtermill/pewtermill/internal/bundle"
)

// File modes. Only its owner may read a private key.
const (
	keyFileMode     = 0o600
	signOffFileMode = 0o644
)

// keyBlockType is the PEM type of a private key in PKCS #8.
const keyBlockType = "PRIVATE KEY"

func readBundle(file string) (*bundle.Bundle, []byte, error) {
	source, err := os.ReadFile(file)
	if err != nil {
		return nil, nil, err
	}
	decoded, err := decodeAndCheck(file, source)
	return decoded, source, err
}

// writeKey writes a key to a new file. It never replaces a file, because a lost key cannot be recovered.
func writeKey(file string, key ed25519.PrivateKey) error {
	encoded, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return err
	}
	return writeNewFile(file, pem.EncodeToMemory(&pem.Block{Type: keyBlockType, Bytes: encoded}))
}

func writeNewFile(file string, content []byte) error {
	opened, err := os.OpenFile(file, os.O_WRONLY|os.O_CREATE|os.O_EXCL, keyFileMode)
	if err != nil {
		return err
	}
	_, writeErr := opened.Write(content)
	return errors.CombineErrors(writeErr, opened.Close())
}

func readKey(file string) (ed25519.PrivateKey, error) {
	content, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	block, _ := pem.Decode(content)
	if block == nil || block.Type != keyBlockType {
		return nil, errors.Newf("%s holds no PEM block of type %s", file, keyBlockType)
	}
	parsed, err := x509.ParsePKCS8PrivateKey(block.Bytes)
	if err != nil {
		return nil, errors.Wrap(err, file)
	}
	key, ok := parsed.(ed25519.PrivateKey)
	if !ok {
		return nil, errors.Newf("%s holds a key that is not ed25519", file)
	}
	return key, nil
}

func readSignOff(file string) (bundle.SignOff, error) {
	content, err := os.ReadFile(file)
	if err != nil {
		return bundle.SignOff{}, err
	}
	var signOff bundle.SignOff
	if err := json.Unmarshal(content, &signOff); err != nil {
		return bundle.SignOff{}, errors.Wrapf(err, "%s is not a sign-off", file)
	}
	return signOff, nil
}
