package http1

import "strconv"

var reasonPhrases = map[int]string{100: "Continue", 200: "OK", 201: "Created", 204: "No Content",
	307: "Temporary Redirect", 400: "Bad Request", 401: "Unauthorized", 403: "Forbidden", 404: "Not Found",
	405: "Method Not Allowed", 408: "Request Timeout", 409: "Conflict", 410: "Gone", 413: "Content Too Large",
	414: "URI Too Long", 429: "Too Many Requests", 431: "Request Header Fields Too Large",
	500: "Internal Server Error", 501: "Not Implemented", 502: "Bad Gateway", 503: "Service Unavailable",
	504: "Gateway Timeout", 505: "HTTP Version Not Supported"}

// Reason returns the reason phrase of a status code that headmill sends, and an empty string for other codes.
func Reason(code int) string { return reasonPhrases[code] }

// AppendStatusLine appends the status line of a response.
func AppendStatusLine(b []byte, code int) []byte {
	b = append(b, "HTTP/1.1 "...)
	b = strconv.AppendInt(b, int64(code), 10)
	b = append(b, ' ')
	b = append(b, reasonPhrases[code]...)
	return append(b, "\r\n"...)
}

// AppendRequest appends the request line and the Host field of a request.
func AppendRequest(b []byte, method, target, host string) []byte {
	b = append(append(append(append(b, method...), ' '), target...), " HTTP/1.1\r\nHost: "...)
	return append(append(b, host...), "\r\n"...)
}

// AppendField appends a header field. CR, LF and NUL in the value become spaces, so that an untrusted value cannot
// inject a field or a message.
func AppendField(b []byte, name, value string) []byte {
	b = append(append(b, name...), ": "...)
	for i := 0; i < len(value); i++ {
		c := value[i]
		if c == '\r' || c == '\n' || c == 0 {
			c = ' '
		}
		b = append(b, c)
	}
	return append(b, "\r\n"...)
}

// AppendBody appends Content-Length, the end of the head and the body. The body itself is omitted if head is set, for
// responses to HEAD requests.
func AppendBody(b, body []byte, head bool) []byte {
	b = append(b, "Content-Length: "...)
	b = strconv.AppendInt(b, int64(len(body)), 10)
	b = append(b, "\r\n\r\n"...)
	if head {
		return b
	}
	return append(b, body...)
}
