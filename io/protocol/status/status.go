// Package status tells the statuses of HTTP answers from other numbers.
package status

import "net/http"

// Valid reports whether an answer, or an interim one, may have the status (RFC 9110, 15). Switching Protocols is none of
// them, because no request asks for another protocol.
func Valid(status int) bool {
	return status >= http.StatusContinue && status < 600 && status != http.StatusSwitchingProtocols
}
