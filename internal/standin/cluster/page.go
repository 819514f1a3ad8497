package cluster

import (
	_ "embed"
	"encoding/json"
	"net"
	"net/http"
)

//go:embed page.html
var pageHTML []byte

// Page serves a web page that plays a title in dash.js and shows the media node, the rung, the buffer, the node's
// suggested bitrate (CMSD) and the events of the session API. script is the path of dash.js; the page loads info as
// /up.json. It returns the listen address.
func Page(script string, info any) (addr string, err error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	infoJSON, err := json.Marshal(info)
	if err != nil {
		return "", err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /{$}", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/html; charset=utf-8")
		w.Write(pageHTML)
	})
	mux.HandleFunc("GET /up.json", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		w.Write(infoJSON)
	})
	mux.HandleFunc("GET /dash.js", func(w http.ResponseWriter, r *http.Request) { http.ServeFile(w, r, script) })
	go http.Serve(listener, mux)
	return listener.Addr().String(), nil
}
