package entry

import (
	"bytes"
	"io"
	"net/http"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/core/route"
	"github.com/chiveramp/chiveramp/internal/dispatch"
	"github.com/chiveramp/chiveramp/internal/peer"
	"github.com/chiveramp/chiveramp/internal/peer/peerpb"
	"github.com/chiveramp/chiveramp/pkg/profile"
)

// plan is a request with what its profile says of it.
type plan struct {
	request    peer.Request
	profile    profile.Profile
	deadline   time.Time
	first      time.Time // when the first token is due
	repeatable bool      // may run again after it may have run
	name       string    // the model's name at engines, empty when the body has it
	blocks     []route.Block
	original   []byte // the body as the caller sent it
	kept       []byte // the body of the next try
	streamed   bool   // the body can be sent once only
	tried      []fleet.Endpoint
	spent      int // further tries so far, over all hops
	repeated   int // those after the request may have run
}

// capUnit is the unit in which a profile's share is told.
const capUnit = 1000

// plan checks a request against the profile document.
func (g *Gateway) plan(request peer.Request) (*plan, *peerpb.End) {
	document, ok := g.documents.Profiles()
	if !ok {
		return nil, dispatch.Refuse(dispatch.CodeProfile, "resolve", "no profiles in force yet", nowhereRetry)
	}
	found, ok := document.Profile(request.Profile)
	if !ok {
		return nil, dispatch.Refuse(dispatch.CodeProfile, "resolve", "no profile "+request.Profile, 0)
	}
	p := &plan{request: request, profile: found, spent: int(request.Retries)}
	if end := p.resolve(document); end != nil {
		return nil, end
	}
	p.limit(g.clock())
	if err := p.keep(); err != nil {
		return nil, dispatch.Refuse(dispatch.CodeBody, "read body", err.Error(), 0)
	}
	return p, nil
}

func (p *plan) resolve(document profile.Document) *peerpb.End {
	p.request.Rank = string(p.profile.Rank)
	p.request.Cap = uint32(p.profile.Cap * capUnit)
	if p.request.Service != "" {
		return p.resolveService(document)
	}
	if !p.profile.MayUse(p.request.Model) {
		return dispatch.Refuse(dispatch.CodeModel, "resolve", "profile "+p.profile.Name+" may not use model "+p.request.Model, 0)
	}
	target, ok := document.Resolve(p.request.Model)
	if !ok {
		return dispatch.Refuse(dispatch.CodeModel, "resolve", "no model "+p.request.Model, 0)
	}
	if name := engineName(target); name != p.request.Model {
		p.name = name
	}
	p.request.Model = string(target.Loaded())
	p.request.Adapter = target.Adapter
	p.repeatable = p.request.Key == ""
	return nil
}

func (p *plan) resolveService(document profile.Document) *peerpb.End {
	name := p.request.Service
	if !p.profile.MayCall(name) {
		return dispatch.Refuse(dispatch.CodeModel, "resolve", "profile "+p.profile.Name+" may not call service "+name, 0)
	}
	service, ok := document.Service(name)
	if !ok {
		return dispatch.Refuse(dispatch.CodeModel, "resolve", "no service "+name, 0)
	}
	p.repeatable = p.request.Key == "" && (service.Repeat || safe(p.request.Method))
	p.request.Once = !p.repeatable
	return nil
}

func safe(method string) bool {
	return slices.Contains([]string{http.MethodGet, http.MethodHead, http.MethodOptions}, method)
}

func (p *plan) limit(now time.Time) {
	p.deadline = now.Add(defaultLife)
	if p.profile.Deadline > 0 {
		p.deadline = now.Add(p.profile.Deadline)
	}
	if asked := time.UnixMilli(p.request.Deadline); p.request.Deadline > 0 && asked.Before(p.deadline) {
		p.deadline = asked
	}
	p.request.Deadline = p.deadline.UnixMilli()
	if p.profile.First > 0 {
		p.first = now.Add(p.profile.First)
	}
}

// keep holds a small body back, so that it can be sent again. Models' bodies
// are kept whole: the caller's edge has limited them.
func (p *plan) keep() error {
	if p.request.Body == nil {
		return nil
	}
	limited := p.request.Body
	if p.request.Service != "" && p.request.Key == "" {
		limited = io.LimitReader(p.request.Body, bufferedBytes)
	}
	body, err := io.ReadAll(limited)
	if err != nil {
		return err
	}
	if p.name != "" {
		if body, err = named(body, p.name); err != nil {
			return err
		}
	}
	p.original, p.kept = body, body
	p.streamed = p.request.Service != "" && p.request.Key == "" && len(body) == bufferedBytes
	p.request.Prompt = uint32(len(body) / tokenBytes)
	p.fingerprint()
	p.block()
	return nil
}

func (p *plan) body() io.Reader {
	if p.streamed {
		return io.MultiReader(bytes.NewReader(p.kept), p.request.Body)
	}
	return bytes.NewReader(p.kept)
}

// submit returns the message for one attempt.
func (p *plan) submit(now time.Time, attempt string, endpoint fleet.Endpoint) *peerpb.Submit {
	s := proto.CloneOf(p.request.Submit)
	s.Attempt = attempt
	s.Endpoint = string(endpoint)
	s.Retries = uint32(p.spent)
	if !p.first.IsZero() {
		s.First = max(1, p.first.Sub(now).Milliseconds())
	}
	p.tried = append(p.tried, endpoint)
	return s
}
