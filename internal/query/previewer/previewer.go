// Package previewer answers where an instance would send a request now, and why, without
// sending it. Package admitter decides.
package previewer

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/hemlockport/hemlockport/pkg/command/admitter"
)

// Question describes a request that is not sent.
type Question struct {
	// Host and Path are those that the caller would request. The path is decoded.
	Host string
	Path string
	// Method is the HTTP method; GET if empty.
	Method string
	// Team is the team whose key the caller would show; empty for none.
	Team string
	// Object names the object that the request concerns; empty for none.
	Object string
}

// Answer is what the instance would decide.
type Answer struct {
	// Instance is the name of the instance, and At the time of the decision.
	Instance string
	At       time.Time
	Preview  admitter.Preview
}

// Previewer answers for one instance. It is safe for concurrent use.
type Previewer struct {
	instance string
	admitter *admitter.Admitter
}

// New returns a previewer for the instance of that name, which decides by the admitter.
func New(instance string, admitter *admitter.Admitter) *Previewer {
	return &Previewer{
		instance: instance,
		admitter: admitter,
	}
}

// Ask returns what the instance would decide on a request now. It changes nothing.
func (p *Previewer) Ask(_ context.Context, question Question) (Answer, error) {
	now := time.Now()
	method := question.Method
	if method == "" {
		method = http.MethodGet
	}
	preview := p.admitter.Preview(admitter.Request{
		Host:   question.Host,
		Path:   question.Path,
		Method: method,
		Object: question.Object,
		Random: rand.Uint64(),
		Now:    now,
	}, question.Team)
	return Answer{
		Instance: p.instance,
		At:       now.UTC(),
		Preview:  preview,
	}, nil
}
