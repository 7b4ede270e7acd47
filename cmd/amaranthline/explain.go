package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"

	"amaranthline/core/coordination/proxy"
	"amaranthline/io/side"

	"github.com/rotisserie/eris"
)

// maxExplanation bounds the answer that explain reads, in bytes.
const maxExplanation = 1 << 20

type explainCommand struct {
	Admin  string `help:"Admin address of the sidecar node." required:"" env:"AMARANTHLINE_ADMIN"`
	Method string `help:"Method of the request." default:"GET"`
	Host   string `help:"Host header of the request." required:""`
	Path   string `arg:"" help:"Path of the request."`
	Team   string `help:"Team of the request, in place of a key."`
	Length int64  `help:"Length of the request's body in bytes." default:"0"`
	JSON   bool   `name:"json" help:"Print JSON."`
}

// explainKeyVariable names the environment variable that holds the key of the request. A process list shows flags, so there
// is none for it.
const explainKeyVariable = "AMARANTHLINE_KEY"

// key returns the key of the request, or "" if a team is named in its place.
func (cmd *explainCommand) key() string {
	if cmd.Team != "" {
		return ""
	}
	return os.Getenv(explainKeyVariable)
}

// Run prints where a request would go now, and why. It sends the request to no upstream.
func (cmd *explainCommand) Run(ctx context.Context, out io.Writer) error {
	body, err := json.Marshal(proxy.ExplainRequest{
		Method: cmd.Method, Host: cmd.Host, Path: cmd.Path, Team: cmd.Team, Key: cmd.key(), Length: cmd.Length,
	})
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+cmd.Admin+"/explain", bytes.NewReader(body))
	if err != nil {
		return err
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return eris.Wrapf(err, "no node answers at %s; check --admin", cmd.Admin)
	}
	defer res.Body.Close()
	data, err := io.ReadAll(io.LimitReader(res.Body, maxExplanation))
	if err != nil {
		return err
	}
	if res.StatusCode != http.StatusOK {
		return fmt.Errorf("the node at %s does not explain the request: %s", cmd.Admin, bytes.TrimSpace(data))
	}
	if cmd.JSON {
		_, err = out.Write(data)
		return err
	}
	var exp proxy.Explanation
	if err := json.Unmarshal(data, &exp); err != nil {
		return eris.Wrapf(err, "the node at %s answered with something else than an explanation; run the same version", cmd.Admin)
	}
	return side.PrintExplanation(out, exp)
}
