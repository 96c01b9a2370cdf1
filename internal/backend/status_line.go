package backend

import "bufio"

// statusLength is the length of a status code in bytes.
const statusLength = 3

// hasUnknownStatus reports whether the next response has a status outside of the classes of HTTP (RFC 9110, section 15).
// net/http accepts any three digits, so that 000 would count as an interim response. It waits for the status only, since
// the rest of such a head may never come. For a line that is no status line, hasUnknownStatus returns false and leaves the
// error to the parser.
func hasUnknownStatus(r *bufio.Reader) bool {
	const proto = "HTTP/1.1"
	line, err := r.Peek(len(proto) + 1)
	if err != nil || string(line[:len("HTTP/")]) != "HTTP/" || line[len(proto)] != ' ' {
		return false
	}
	start := len(proto) + 1
	for {
		line, err = r.Peek(start + statusLength)
		if err != nil {
			return false
		}
		if line[start] != ' ' {
			break
		}
		start++ // the parser accepts several spaces
	}
	status := line[start:]
	return status[0] < '1' || status[0] > '5' || !isDigit(status[1]) || !isDigit(status[2])
}

func isDigit(b byte) bool { return b >= '0' && b <= '9' }
