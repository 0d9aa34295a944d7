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

	"sequoiamill.example/sequoiamill/fault"
)

// CheckResponse returns an error of kind fault.BrokenAnswer if the head of a response is
// malformed: it has a status below 100, or it is an interim response and states a body, which
// a reader would take for the next response.
func CheckResponse(response *http.Response) error {
	switch {
	case response.StatusCode < http.StatusContinue:
		return fault.New(fault.BrokenAnswer, "the response has the status %q", response.Status)
	case response.StatusCode < http.StatusOK && statesBody(response):
		return fault.New(fault.BrokenAnswer, "the interim response %d states a body", response.StatusCode)
	default:
		return nil
	}
}

// CheckFinal is CheckResponse for a response that must not be an interim one.
func CheckFinal(response *http.Response) error {
	if response.StatusCode < http.StatusOK {
		return fault.New(fault.BrokenAnswer, "the response has the status %q", response.Status)
	}
	return CheckResponse(response)
}

func statesBody(response *http.Response) bool {
	length := response.Header.Get("Content-Length")
	return length != "" && length != "0" || len(response.TransferEncoding) > 0
}
