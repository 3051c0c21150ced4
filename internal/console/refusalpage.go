package console

import (
	"errors"
	"maps"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"turmericyoke/internal/fault"
	"turmericyoke/internal/refusal"
)

// entriesPerPage is the largest number of entries on one page of refusals.
const entriesPerPage = 100

// dateTimeLayout is the format of the value of an HTML input of type datetime-local. The console reads it as
// UTC.
const dateTimeLayout = "2006-01-02T15:04"

// ruleMeanings explains the rules by which requests are refused, for operators.
var ruleMeanings = map[fault.Kind]string{
	fault.KeyUnknown:          "The request had no key, or one that isn't in the document.",
	fault.KeyFreshnessUnknown: "The gateway's configuration was older than the key's failClosedAfter, or didn't have the key and may have been out of date.",
	fault.PoolUnknown:         "The document has no pool of that name.",
	fault.NotReady:            "The gateway's configuration had no such pool or team, and may have been out of date.",
	fault.RequestInvalid:      "The request couldn't be understood.",
	fault.RequestTooLarge:     "The headers or the body were larger than the gateway accepts.",
	fault.TeamLimit:           "The team had as many units running as its limit permits.",
	fault.LeaseLapsed:         "The gateway's lease wasn't renewed in time, so that it admitted nothing.",
	fault.QueueFull:           "The queue was full, and the team was the furthest above its share.",
	fault.QueueTimeout:        "No slot was free before the wait in the queue ended.",
	fault.EndpointUnavailable: "The pool had no endpoint that could take the request.",
	fault.ShuttingDown:        "The gateway was shutting down.",
	fault.OutcomeUnknown:      "Contact was lost after the request was sent; it may have run.",
	fault.ResponseTruncated:   "The endpoint's response ended early; the request may have run.",
}

// ruleMeaning returns the explanation of a rule, or an empty text if there is none.
func ruleMeaning(rule string) string { return ruleMeanings[fault.Kind(rule)] }

// refusalsPage lists the refusals that match a filter.
type refusalsPage struct {
	Configured bool
	Problem    string
	Place      refusal.Cursor
	// Team, Rule, From and To are the filter in the operator's request. Teams and Rules are the teams and rules
	// that the page offers to filter by.
	Team, Rule, From, To string
	Teams, Rules         []string
	Entries              []refusal.Match
	// Matching is the number of entries that match, and Count the number of refusals in these.
	Matching int
	Count    uint64
	Totals   []ruleTotal
	// Older and Newer are the URL queries of the neighbouring pages, or empty.
	Older, Newer string
}

// ruleTotal is the number of refusals by one rule.
type ruleTotal struct {
	Rule    string
	Meaning string
	Count   uint64
}

func (r *request) queryValue(name string) string {
	return strings.TrimSpace(string(r.QueryArgs().Peek(name)))
}

// listRefusals shows a page of the refusals that match the filter in the request.
func (s *Server) listRefusals(r *request) error {
	page := refusalsPage{
		Configured: s.refusals != nil,
		Team:       r.queryValue("team"), Rule: r.queryValue("rule"), From: r.queryValue("from"), To: r.queryValue("to"),
	}
	filter, err := page.filter()
	if err != nil {
		return err
	}
	if s.refusals != nil {
		pageNumber, _ := strconv.Atoi(r.queryValue("page"))
		err := s.refusals.readAndView(r.ctx, func(reader *refusal.Reader, position refusal.Cursor) {
			page.Place = position
			page.fillEntries(reader.Find(filter), max(pageNumber, 0))
			page.fillChoices(reader.Find(refusal.Filter{}))
		})
		page.Problem = incompleteNotice(err)
	}
	s.render(r, "refusals", "Refusals", page)
	return nil
}

func incompleteNotice(err error) string {
	if err == nil {
		return ""
	}
	return "The newest refusals may be missing: " + err.Error()
}

// filter parses the filter in the operator's request.
func (p *refusalsPage) filter() (refusal.Filter, error) {
	from, fromErr := parseTime("from", p.From)
	to, toErr := parseTime("to", p.To)
	return refusal.Filter{Team: p.Team, Rule: p.Rule, From: from, To: to}, errors.Join(fromErr, toErr)
}

// parseTime parses a time in UTC. An empty text gives the zero time, which a filter ignores.
func parseTime(field, text string) (time.Time, error) {
	if text == "" {
		return time.Time{}, nil
	}
	parsed, err := time.Parse(dateTimeLayout, text)
	if err != nil {
		return time.Time{}, fault.Invalid(fault.RequestInvalid, field, "time %q: want YYYY-MM-DDThh:mm in UTC", text)
	}
	return parsed, nil
}

// fillEntries sets the totals of the matching entries, and selects the entries of one page, newest first.
func (p *refusalsPage) fillEntries(matching []refusal.Match, pageNumber int) {
	p.Matching = len(matching)
	totals := map[string]uint64{}
	for _, match := range matching {
		p.Count += match.Entry.GetCount()
		totals[match.Entry.GetRule()] += match.Entry.GetCount()
	}
	for _, rule := range sortedNames(totals) {
		p.Totals = append(p.Totals, ruleTotal{Rule: rule, Meaning: ruleMeaning(rule), Count: totals[rule]})
	}
	pageNumber = min(pageNumber, max(len(matching)-1, 0)/entriesPerPage)
	pageEnd := len(matching) - pageNumber*entriesPerPage
	pageStart := max(pageEnd-entriesPerPage, 0)
	for i := pageEnd - 1; i >= pageStart; i-- {
		p.Entries = append(p.Entries, matching[i])
	}
	if pageStart > 0 {
		p.Older = p.pageQuery(pageNumber + 1)
	}
	if pageNumber > 0 {
		p.Newer = p.pageQuery(pageNumber - 1)
	}
}

// fillChoices sets the teams and rules to choose from: those of all retained refusals.
func (p *refusalsPage) fillChoices(all []refusal.Match) {
	teams, rules := map[string]uint64{}, map[string]uint64{}
	for _, match := range all {
		teams[match.Entry.GetTeam()]++
		rules[match.Entry.GetRule()]++
	}
	delete(teams, "")
	p.Teams, p.Rules = sortedNames(teams), sortedNames(rules)
}

// refusalPage explains one refusal.
type refusalPage struct {
	Configured bool
	Problem    string
	ID         string
	refusal.Explanation
	Place refusal.Cursor
}

// explainRefusal explains the refusal with the id in the request, which the caller of the refused request
// received.
func (s *Server) explainRefusal(r *request) error {
	page := refusalPage{Configured: s.refusals != nil, ID: r.queryValue("id")}
	if s.refusals == nil {
		s.render(r, "refusal", "Refusal", page)
		return nil
	}
	var invalid *fault.Error
	err := s.refusals.readAndView(r.ctx, func(reader *refusal.Reader, position refusal.Cursor) {
		page.Place = position
		page.Explanation, invalid = reader.Explain(page.ID)
	})
	if invalid != nil {
		return invalid
	}
	page.Problem = incompleteNotice(err)
	s.render(r, "refusal", "Refusal", page)
	return nil
}

// pageQuery returns the URL query of another page with the same filter.
func (p *refusalsPage) pageQuery(pageNumber int) string {
	values := url.Values{}
	for name, value := range map[string]string{"team": p.Team, "rule": p.Rule, "from": p.From, "to": p.To} {
		if value != "" {
			values.Set(name, value)
		}
	}
	values.Set("page", strconv.Itoa(pageNumber))
	return values.Encode()
}

func sortedNames(counts map[string]uint64) []string {
	return slices.Sorted(maps.Keys(counts))
}
