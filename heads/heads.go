// Package heads checks the heads of HTTP messages for faults that net/http accepts.
//
// # Usage
//
//	response, err := http.ReadResponse(reader, request)
//	if err == nil {
//		err = heads.CheckResponse(response)
//	}
//
//	client := &http.Client{Transport: heads.NewTransport(&http.Transport{})}
package heads

import (
	"net/http"
	"strings"

	"sequoiamill.example/sequoiamill/fault"
)

// maxQuoted is the number of characters up to which errors quote a response.
const maxQuoted = 64

// CheckResponse returns an error of kind fault.BrokenAnswer if the head of a response is
// malformed: it has a status below 100 or a field whose name is no token, or it is an interim
// response and states a body, which a reader would take for the next response.
func CheckResponse(response *http.Response) error {
	switch {
	case response.StatusCode < http.StatusContinue:
		return fault.New(fault.BrokenAnswer, "the response has the status %.*q", maxQuoted, response.Status)
	case response.StatusCode < http.StatusOK && statesBody(response):
		return fault.New(fault.BrokenAnswer, "the interim response %d states a body", response.StatusCode)
	default:
		return CheckFields(response.Header)
	}
}

// CheckFinal is CheckResponse for a response that must not be an interim one.
func CheckFinal(response *http.Response) error {
	if response.StatusCode < http.StatusOK {
		return fault.New(fault.BrokenAnswer, "the response has the status %.*q", maxQuoted, response.Status)
	}
	return CheckFields(response.Header)
}

func statesBody(response *http.Response) bool {
	length := response.Header.Get("Content-Length")
	return length != "" && length != "0" || len(response.TransferEncoding) > 0
}

// CheckFields returns an error of kind fault.BrokenAnswer if the name of a field in a head or
// in trailers is no token. A field such as "Content-Length : 4" is not the one that it looks
// like, so that what follows the head may be taken for something else. Names without a value
// are only announced and not checked.
func CheckFields(fields http.Header) error {
	for name, values := range fields {
		if len(values) > 0 && !IsToken(name) {
			return fault.New(fault.BrokenAnswer, "the response has a field named %.*q", maxQuoted, name)
		}
	}
	return nil
}

// IsToken reports whether a text is a token of HTTP, as the names of fields are.
func IsToken(text string) bool {
	for at := range len(text) {
		if !tokenChars[text[at]] {
			return false
		}
	}
	return text != ""
}

// tokenChars has the characters of a token.
var tokenChars = Chars("!#$%&'*+-.^_`|~")

// Chars returns the set of the letters, the digits and the further characters.
func Chars(further string) [256]bool {
	var set [256]bool
	for char := range len(set) {
		digit := char >= '0' && char <= '9'
		letter := char >= 'a' && char <= 'z' || char >= 'A' && char <= 'Z'
		set[char] = digit || letter || strings.IndexByte(further, byte(char)) >= 0
	}
	return set
}
