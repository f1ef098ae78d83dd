package responder

import (
	"fmt"
	"net/http"
	"time"

	"github.com/hemlockport/hemlockport/internal/query/previewer"
	"github.com/hemlockport/hemlockport/internal/query/reporter"
	"github.com/hemlockport/hemlockport/pkg/declarer"
	"github.com/hemlockport/hemlockport/pkg/query/merger"
)

// The names of the query parameters.
const (
	ParamKind    = "kind"
	ParamName    = "name"
	ParamProcess = "process"
	ParamObject  = "object"
	ParamSince   = "since"
	ParamHost    = "host"
	ParamPath    = "path"
	ParamMethod  = "method"
	ParamTeam    = "team"
)

func decodeEmpty(*http.Request) (reporter.Empty, error) {
	return reporter.Empty{}, nil
}

func decodeSelection(request *http.Request) (reporter.Selection, error) {
	query := request.URL.Query()
	selection := reporter.Selection{
		Name: query.Get(ParamName),
	}
	if name := query.Get(ParamKind); name != "" {
		kind, err := declarer.ParseKind(name)
		if err != nil {
			return selection, err
		}
		selection.Kind = kind
	}
	return selection, nil
}

func decodeFilter(request *http.Request) (merger.Filter, error) {
	query := request.URL.Query()
	filter := merger.Filter{}.
		WithProcess(query.Get(ParamProcess)).
		WithObject(query.Get(ParamObject))
	text := query.Get(ParamSince)
	if text == "" {
		return filter, nil
	}
	since, err := time.Parse(time.RFC3339, text)
	if err != nil {
		return filter, fmt.Errorf("%s = %q: want a time such as 2026-01-02T15:04:05Z", ParamSince, text)
	}
	return filter.WithSince(since), nil
}

func decodeQuestion(request *http.Request) (previewer.Question, error) {
	query := request.URL.Query()
	question := previewer.Question{
		Host:   query.Get(ParamHost),
		Path:   query.Get(ParamPath),
		Method: query.Get(ParamMethod),
		Team:   query.Get(ParamTeam),
		Object: query.Get(ParamObject),
	}
	if question.Host == "" || question.Path == "" {
		return question, fmt.Errorf("want the parameters %s and %s", ParamHost, ParamPath)
	}
	return question, nil
}
