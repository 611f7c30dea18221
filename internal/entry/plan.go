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

// plan is a request with the settings of its profile and the state of its attempts.
type plan struct {
	request       peer.Request
	profile       profile.Profile
	deadline      time.Time
	firstTokenDue time.Time
	repeatable    bool   // may run again if it is not known whether it ran
	engineModel   string // model name for the engine, empty if the body has it already
	blocks        []route.Block
	original      []byte // the body as the caller sent it
	attemptBody   []byte // the body of the next attempt
	singleUse     bool   // the body fills the retry buffer, so that it can be sent only once
	tried         []fleet.Endpoint
	retries       int // so far, over all hops
	reruns        int // retries after attempts that may have run
}

// shareUnit is the scale of a profile's share of the fleet in messages: thousandths.
const shareUnit = 1000

// plan checks a request against the profile document and resolves its model or service.
func (g *Gateway) plan(request peer.Request) (*plan, *peerpb.End) {
	document, ok := g.documents.Profiles()
	if !ok {
		return nil, dispatch.Refuse(dispatch.CodeProfile, "resolve", "no profiles in force yet", noEndpointRetryAfter)
	}
	found, ok := document.Profile(request.Profile)
	if !ok {
		return nil, dispatch.Refuse(dispatch.CodeProfile, "resolve", "no profile "+request.Profile, 0)
	}
	p := &plan{request: request, profile: found, retries: int(request.Retries)}
	if end := p.resolve(document); end != nil {
		return nil, end
	}
	p.setDeadline(g.clock())
	if err := p.readBody(); err != nil {
		return nil, dispatch.Refuse(dispatch.CodeBody, "read body", err.Error(), 0)
	}
	return p, nil
}

func (p *plan) resolve(document profile.Document) *peerpb.End {
	p.request.Rank = string(p.profile.Rank)
	p.request.Cap = uint32(p.profile.Cap * shareUnit)
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
		p.engineModel = name
	}
	p.request.Model = string(target.LoadedModel())
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
	p.repeatable = p.request.Key == "" && (service.Repeat || isSafeMethod(p.request.Method))
	p.request.Once = !p.repeatable
	return nil
}

func isSafeMethod(method string) bool {
	return slices.Contains([]string{http.MethodGet, http.MethodHead, http.MethodOptions}, method)
}

func (p *plan) setDeadline(now time.Time) {
	p.deadline = now.Add(defaultDeadline)
	if p.profile.Deadline > 0 {
		p.deadline = now.Add(p.profile.Deadline)
	}
	if asked := time.UnixMilli(p.request.Deadline); p.request.Deadline > 0 && asked.Before(p.deadline) {
		p.deadline = asked
	}
	p.request.Deadline = p.deadline.UnixMilli()
	if p.profile.First > 0 {
		p.firstTokenDue = now.Add(p.profile.First)
	}
}

// readBody buffers the body, so that it can be sent again. Of a request to a service without
// an idempotency key it buffers at most retryBufferBytes. Other bodies are buffered
// completely; the caller-facing side has limited those for models.
func (p *plan) readBody() error {
	if p.request.Body == nil {
		return nil
	}
	limited := p.request.Body
	if p.request.Service != "" && p.request.Key == "" {
		limited = io.LimitReader(p.request.Body, retryBufferBytes)
	}
	body, err := io.ReadAll(limited)
	if err != nil {
		return err
	}
	if p.engineModel != "" {
		if body, err = setModelName(body, p.engineModel); err != nil {
			return err
		}
	}
	p.original, p.attemptBody = body, body
	p.singleUse = p.request.Service != "" && p.request.Key == "" && len(body) == retryBufferBytes
	p.request.Prompt = uint32(len(body) / bytesPerToken)
	p.setFingerprint()
	p.hashBlocks()
	return nil
}

func (p *plan) body() io.Reader {
	if p.singleUse {
		return io.MultiReader(bytes.NewReader(p.attemptBody), p.request.Body)
	}
	return bytes.NewReader(p.attemptBody)
}

// newAttempt returns the message for one attempt and notes its endpoint as tried.
func (p *plan) newAttempt(now time.Time, attempt string, endpoint fleet.Endpoint) *peerpb.Submit {
	s := proto.CloneOf(p.request.Submit)
	s.Attempt = attempt
	s.Endpoint = string(endpoint)
	s.Retries = uint32(p.retries)
	if !p.firstTokenDue.IsZero() {
		s.First = max(1, p.firstTokenDue.Sub(now).Milliseconds())
	}
	p.tried = append(p.tried, endpoint)
	return s
}

// untry lets the request be sent to an endpoint again that it has not reached.
func (p *plan) untry(endpoint fleet.Endpoint) {
	p.tried = slices.DeleteFunc(p.tried, func(e fleet.Endpoint) bool { return e == endpoint })
}
