package main

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"os"

	"github.com/tinylib/msgp/msgp"
)

// encode returns v in msgpack.
func encode(v any) []byte {
	b, err := msgp.AppendIntf(nil, v)
	if err != nil {
		panic(err)
	}
	return b
}

// decode returns a msgpack message as a map, empty if it is none.
func decode(b []byte) map[string]any {
	v, _, err := msgp.ReadIntfBytes(b)
	m, _ := v.(map[string]any)
	if err != nil || m == nil {
		return map[string]any{}
	}
	return m
}

func str(v any) string {
	s, _ := v.(string)
	return s
}

func num(v any) int64 {
	switch v := v.(type) {
	case int64:
		return v
	case uint64:
		return int64(v)
	case float64:
		return int64(v)
	}
	return 0
}

func list(v any) []any {
	l, _ := v.([]any)
	return l
}

// post sends a message in msgpack and returns the status, 0 without an answer.
func post(c *http.Client, url string, v any) int {
	resp, err := c.Post(url, "application/msgpack", bytes.NewReader(encode(v)))
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}

func must(err error) {
	if err != nil {
		fmt.Println("stand-in:", err)
		if theSite != nil {
			theSite.end()
		}
		os.Exit(2)
	}
}
