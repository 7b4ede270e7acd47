package side

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"text/tabwriter"
	"time"

	"amaranthline/core/coordination/proxy"
)

const (
	// minExplainInterval is the least time between two explanations, so that they take no processor time from requests.
	minExplainInterval = 50 * time.Millisecond
	maxExplainRequest  = 16 << 10 // bytes
)

// explainHandler answers POST /explain. Its request has the key in the body, because paths are logged on the way.
type explainHandler struct {
	explain func(proxy.ExplainRequest) proxy.Explanation
	last    atomic.Int64 // Unix nanoseconds of the last explanation
}

// NewExplainHandler returns the handler of requests to explain a placement.
func NewExplainHandler(explain func(proxy.ExplainRequest) proxy.Explanation) http.Handler {
	return &explainHandler{explain: explain}
}

// ServeHTTP explains where a request would go.
func (exh *explainHandler) ServeHTTP(wri http.ResponseWriter, req *http.Request) {
	now, last := time.Now().UnixNano(), exh.last.Load()
	if now-last < int64(minExplainInterval) && now >= last || !exh.last.CompareAndSwap(last, now) {
		http.Error(wri, fmt.Sprintf("explanations are at least %v apart; try again", minExplainInterval), http.StatusTooManyRequests)
		return
	}
	var asked proxy.ExplainRequest
	dec := json.NewDecoder(http.MaxBytesReader(wri, req.Body, maxExplainRequest))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&asked); err != nil {
		// The error of the decoder may quote the body, and with it the key.
		http.Error(wri, "the body is not a JSON object with method, host, path, key or team, and length", http.StatusBadRequest)
		return
	}
	if err := checkExplain(asked); err != nil {
		http.Error(wri, err.Error(), http.StatusBadRequest)
		return
	}
	wri.Header().Set("Content-Type", "application/json")
	enc := json.NewEncoder(wri)
	enc.SetIndent("", "  ")
	_ = enc.Encode(exh.explain(asked))
}

func checkExplain(asked proxy.ExplainRequest) error {
	switch {
	case asked.Method == "" || asked.Host == "" || asked.Path == "":
		return errors.New("method, host and path are needed")
	case asked.Key != "" && asked.Team != "":
		return errors.New("a request has a key or a team, not both")
	}
	return nil
}

// PrintExplanation writes an explanation for people.
func PrintExplanation(out io.Writer, exp proxy.Explanation) error {
	tab := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	line := func(format string, args ...any) { _, _ = fmt.Fprintf(tab, format+"\n", args...) } // Flush returns the error
	verdict := "admitted at this node"
	if !exp.Admitted {
		verdict = fmt.Sprintf("refused (%s): %s", exp.Reason, exp.Detail)
	}
	line("request\t%s", verdict)
	if exp.Route != "" {
		line("route\t%s, class %s (rank %d), target %.0f ms, timeout %.0f ms", exp.Route, exp.Class, exp.Rank, exp.TargetMS, exp.TimeoutMS)
		line("team\t%s; rate: %s, %d tokens held here", orNone(exp.Team), exp.Rate, exp.TokensHeld)
		line("service\t%s, by %s%s", exp.Service, exp.Scheduling, prefixed(", kind ", exp.Kind))
		line("goes to\t%s%s", orNone(exp.Chosen), prefixed("; goes elsewhere: ", exp.Elsewhere))
	}
	if own := exp.Own; own != nil {
		line("own upstream\t%d of %d slots, %d queued, wait %.1f ms, class %d of %d%s", own.InFlight, own.Slots, own.Queued, own.WaitMS,
			own.ClassInFlight, own.ClassLimit, prefixed("; refuses: ", own.Refusal))
	}
	if len(exp.Candidates) > 0 {
		line("")
		line("host\tdomain\tstate\tservice\twait\tcongestion\tfailures\tpenalty\tsum\tcompletion\tusage\tspeed\treport age\t")
	}
	for _, hos := range exp.Candidates {
		line("%s\t%s\t%s\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%.2f\t%.2f\t%s\t%s", hos.Host, domainText(hos), hos.State, hos.ServiceMS, hos.WaitMS,
			hos.CongestionMS, hos.FailuresMS, hos.RemotePenaltyMS, hos.SumMS, hos.CompletionMS, hos.Usage, hos.Speed, ageText(hos.ReportAgeMS), choiceText(hos))
	}
	if exp.NotUsed > 0 {
		line("hosts of the service that are not compared: %d", exp.NotUsed)
	}
	return tab.Flush()
}

func orNone(text string) string {
	if text == "" {
		return "none"
	}
	return text
}

func prefixed(prefix, text string) string {
	if text == "" {
		return ""
	}
	return prefix + text
}

func domainText(hos proxy.ExplainedHost) string {
	if hos.Local {
		return "this"
	}
	return "other"
}

func ageText(millis float64) string {
	if millis < 0 {
		return "none"
	}
	return fmt.Sprintf("%.0f ms", millis)
}

func choiceText(hos proxy.ExplainedHost) string {
	switch {
	case hos.Chosen:
		return "chosen"
	case hos.MayBeChosen:
		return "may be chosen"
	}
	return ""
}
