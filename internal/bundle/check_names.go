package bundle

import (
	"crypto/ed25519"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"net"
	"net/url"
	"regexp"
	"slices"
	"strconv"
	"strings"
)

// namePattern matches valid names. cellPattern is more restrictive because a cell's name is part of
// program ids.
var (
	namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._/-]{0,127}$`)
	cellPattern = regexp.MustCompile(`^[a-z][a-z0-9-]{0,31}$`)
)

// policies are the allowed values of scheduling.policy.
var policies = []string{"program_aware", "round_robin", "least_loaded", "session_affinity"}

// engineRoles are the allowed values of an engine's role.
var engineRoles = []string{"prefill", "decode", "both"}

// maxNamesInMessage is the maximum number of allowed names that one message lists.
const maxNamesInMessage = 12

// names are the sorted names that items may refer to.
type names struct {
	zones, cells, models, tools []string
}

func namesOf(b *Bundle) names {
	return names{
		zones:  sortedNames(b.Zones, zoneName),
		cells:  sortedNames(b.Cells, cellName),
		models: sortedNames(b.Models, modelName),
		tools:  sortedNames(b.Tools, toolName),
	}
}

func sortedNames[T any](items []T, name func(*T) string) []string {
	list := make([]string, 0, len(items))
	for index := range items {
		list = append(list, name(&items[index]))
	}
	slices.Sort(list)
	return slices.Compact(list)
}

func itemPath(list string, index int) string {
	return list + "[" + strconv.Itoa(index) + "]"
}

func (c *checker) checkName(path, name string) {
	if !namePattern.MatchString(name) {
		c.addViolation(path, "is %q; must be 1 to 128 letters, digits, '.', '_', '/' or '-', beginning with a letter or digit", name)
	}
}

// checkItemNames checks the format and the uniqueness of a list's names.
func checkItemNames[T any](c *checker, list string, items []T, name func(*T) string) {
	firstIndex := make(map[string]int, len(items))
	for index := range items {
		path := itemPath(list, index) + ".name"
		itemName := name(&items[index])
		c.checkName(path, itemName)
		if earlier, used := firstIndex[itemName]; used {
			c.addViolation(path, "%q is already the name of %s", itemName, itemPath(list, earlier))
			continue
		}
		firstIndex[itemName] = index
	}
}

// reference checks that name is one of the allowed names, which are sorted or few.
func (c *checker) reference(path, kind, name string, allowed []string) {
	if slices.Contains(allowed, name) {
		return
	}
	c.addViolation(path, "no %s is named %q; allowed: %s", kind, name, listNames(allowed))
}

// references checks a list of names, in which each name may occur once.
func (c *checker) references(path, kind string, used, allowed []string) {
	for index, name := range used {
		c.reference(itemPath(path, index), kind, name, allowed)
		if slices.Contains(used[:index], name) {
			c.addViolation(itemPath(path, index), "%q is listed twice", name)
		}
	}
}

func listNames(allowed []string) string {
	if len(allowed) == 0 {
		return "none"
	}
	if len(allowed) <= maxNamesInMessage {
		return strings.Join(allowed, ", ")
	}
	omitted := len(allowed) - maxNamesInMessage
	return strings.Join(allowed[:maxNamesInMessage], ", ") + " and " + strconv.Itoa(omitted) + " more"
}

// checkKeyDigest checks one digest; paths maps the digests checked so far to their paths.
func (c *checker) checkKeyDigest(path, digest string, paths map[string]string) {
	raw, err := hex.DecodeString(digest)
	if err != nil || len(raw) != sha256.Size {
		c.addViolation(path, "must be SHA-256 of a key in 64 hexadecimal digits")
		return
	}
	if earlier, used := paths[string(raw)]; used {
		c.addViolation(path, "is the same key as %s", earlier)
		return
	}
	paths[string(raw)] = path
}

func decodePublicKey(text string) (ed25519.PublicKey, bool) {
	raw, err := base64.StdEncoding.DecodeString(text)
	if err != nil || len(raw) != ed25519.PublicKeySize {
		return nil, false
	}
	return ed25519.PublicKey(raw), true
}

func (c *checker) checkURL(path, text string) {
	parsed, err := url.Parse(text)
	if err != nil || parsed.Hostname() == "" || (parsed.Scheme != "http" && parsed.Scheme != "https") {
		c.addViolation(path, "is %q; must be http://HOST:PORT or https://HOST:PORT, with or without a path", text)
		return
	}
	if parsed.User != nil || parsed.RawQuery != "" || parsed.Fragment != "" {
		c.addViolation(path, "must have neither user, query nor fragment")
	}
}

func (c *checker) checkAddress(path, text string) {
	host, port, err := net.SplitHostPort(text)
	number, portErr := strconv.ParseUint(port, 10, 16)
	if err != nil || portErr != nil || host == "" || number == 0 {
		c.addViolation(path, "is %q; must be HOST:PORT with a port from 1 to 65535", text)
	}
}
