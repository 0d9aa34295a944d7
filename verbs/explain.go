package verbs

import (
	"context"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"connectrpc.com/connect"

	"sequoiamill.example/sequoiamill/api/opsv1"
	"sequoiamill.example/sequoiamill/codec"
)

type explainCmd struct {
	adminFlags
	formatFlags
	Method     string `help:"Method of the request." default:"GET"`
	Host       string `help:"Host of the request."`
	Team       string `help:"Name of the team whose key the request shows."`
	BodyLength uint32 `help:"Length of the body in bytes."`
	Service    string `help:"Only this service of a split."`
	Path       string `arg:"" help:"Path of the request, with its query."`
}

// Run prints where a request would go now and why. It returns the error with which the
// request would fail.
func (c *explainCmd) Run(out output) error {
	ctx, cancel := context.WithTimeout(context.Background(), operatorTimeout)
	defer cancel()
	response, err := c.client().Explain(ctx, connect.NewRequest(&opsv1.ExplainRequest{
		Method: c.Method, Host: c.Host, Path: c.Path, Team: c.Team, BodyLength: c.BodyLength, Service: c.Service,
	}))
	if err != nil {
		return codec.FaultFromRPC(err)
	}
	if c.json() {
		err = printJSON(out, response.Msg)
	} else {
		err = printExplanation(out, response.Msg)
	}
	if err != nil {
		return err
	}
	if refused := codec.FaultFromRefusal(response.Msg.GetRefused()); refused != nil {
		return refused
	}
	return nil
}

// printExplanation prints an explanation as text.
func printExplanation(out output, ex *opsv1.ExplainResponse) error {
	out.printf("asked %s, version %d\n", ex.GetInstance(), ex.GetVersion())
	if ex.GetRoute() != "" {
		out.printf("route %s, importance %s, deadline %s%s\n", ex.GetRoute(), importanceText(ex.GetImportance()), ex.GetDeadline().AsDuration(), aimText(ex))
	}
	if team := ex.GetTeam(); team != nil {
		out.printf("team %s, %s\n", team.GetName(), limitText(team))
	}
	if cost := ex.GetCost(); cost != nil {
		out.printf("expected %s, %s\n", cost.GetDuration().AsDuration(), basisText(cost))
	}
	for _, service := range ex.GetServices() {
		if err := printService(out, service); err != nil {
			return err
		}
	}
	if len(ex.GetServices()) > 0 {
		out.printf("\n")
	}
	for _, unknown := range ex.GetUnknown() {
		out.printf("not known: %s\n", unknown)
	}
	if ex.GetRefused() != nil {
		out.printf("refused: %s\n", refusalText(ex.GetRefused()))
	}
	return nil
}

func printService(out output, service *opsv1.ServiceExplanation) error {
	out.printf("\nservice %s", service.GetService())
	if service.GetWeight() > 0 {
		out.printf(", weight %d", service.GetWeight())
	}
	out.printf("\n")
	if err := printOwners(out.stdout, service.GetOwners()); err != nil {
		return err
	}
	if service.GetRefused() != nil {
		out.printf("refused: %s\n", refusalText(service.GetRefused()))
	} else {
		out.printf("taken: %s\n", service.GetChoice())
	}
	if local := service.GetLocal(); local != nil {
		out.printf("the upstream of this node would %s\n", localText(local))
	}
	return nil
}

// printOwners prints the owners of a service with the parts of their scores.
func printOwners(w io.Writer, owners []*opsv1.OwnerExplanation) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "INSTANCE\tZONE\tVERSION\tSLOTS\tCHOICE\tSCORE\tWORK\tWAIT\tWAY\tLIMITS\tFAULTS\tIN FLIGHT\tSLOWNESS\tREPORT\tSTATUS")
	for _, owner := range owners {
		cells := []string{owner.GetInstance(), owner.GetZone(), orDash(owner.GetUpstreamVersion()), fmt.Sprint(owner.GetSlots())}
		cells = append(cells, ratingCells(owner)...)
		cells = append(cells, reportText(owner.GetLoad()), orDash(owner.GetStatus()))
		_, _ = fmt.Fprintln(table, strings.Join(cells, "\t"))
	}
	return table.Flush()
}

// ratingCells returns the cells from CHOICE to SLOWNESS.
func ratingCells(owner *opsv1.OwnerExplanation) []string {
	if owner.GetSlowness() == 0 {
		return []string{"no", "-", "-", "-", "-", "-", "-", "-", "-"}
	}
	choice := "no"
	if owner.GetInChoice() {
		choice = "yes"
	}
	cells := []string{choice}
	if parts := owner.GetParts(); parts != nil {
		score := time.Duration(owner.GetScore() * float64(time.Second)).Round(time.Microsecond)
		cells = append(cells, score.String(), parts.GetWork().AsDuration().String(), parts.GetWait().AsDuration().String(),
			parts.GetWay().AsDuration().String(), parts.GetLimits().AsDuration().String(), parts.GetFaults().AsDuration().String())
	} else {
		cells = append(cells, fmt.Sprintf("%.3g", owner.GetScore()), "-", "-", "-", "-", "-")
	}
	return append(cells, fmt.Sprint(owner.GetInFlight()), fmt.Sprintf("%.2f", owner.GetSlowness()))
}

func reportText(load *opsv1.ReportedLoad) string {
	if load == nil {
		return "none"
	}
	text := fmt.Sprintf("%d run, %d wait", load.GetRunning(), load.GetQueued())
	if load.GetSlotWait() != nil {
		text += fmt.Sprintf(", slot in %s, all done in %s", load.GetSlotWait().AsDuration(), load.GetDrain().AsDuration())
	}
	return text + fmt.Sprintf(", %s ago", load.GetAge().AsDuration())
}

func localText(local *opsv1.LocalAdmission) string {
	text := fmt.Sprintf("%s it (%d of %d slots run, %d wait)", local.GetVerdict(), local.GetRunning(), local.GetSlots(), local.GetQueued())
	if local.GetRefused() != nil {
		return text + ": " + refusalText(local.GetRefused())
	}
	if local.GetVerdict() == "queue" {
		text += fmt.Sprintf(", start in about %s", local.GetWait().AsDuration())
	}
	if local.GetEvicts() > 0 {
		text += fmt.Sprintf(", and refuse %d that are less important", local.GetEvicts())
	}
	return text + fmt.Sprintf(", and run it for about %s", local.GetExpected().AsDuration())
}

func refusalText(refused *opsv1.Refusal) string {
	text := fmt.Sprintf("%d %s: %s", refused.GetHttpStatus(), refused.GetKind(), refused.GetMessage())
	if wait := refused.GetRetryAfter().AsDuration(); wait > 0 {
		text += fmt.Sprintf("; come back in about %s", wait)
	}
	return text
}

func basisText(cost *opsv1.ExpectedCost) string {
	switch cost.GetBasis() {
	case "estimator":
		return fmt.Sprintf("%.2f times the route's typical duration, by the features of the request (%d tell)", cost.GetFactor(), cost.GetFeatures())
	case "route":
		return "the route's typical duration"
	default:
		return "a default, nothing was seen of the route"
	}
}

func limitText(team *opsv1.Team) string {
	if team.GetRate() == 0 {
		return "no limit"
	}
	return fmt.Sprintf("limit %g requests/s over all nodes, burst %g", team.GetRate(), team.GetBurst())
}

func aimText(ex *opsv1.ExplainResponse) string {
	if ex.GetAim() == nil {
		return ", no aim"
	}
	return fmt.Sprintf(", aim %s", ex.GetAim().AsDuration())
}

func importanceText(importance opsv1.Importance) string {
	return strings.ToLower(strings.TrimPrefix(importance.String(), "IMPORTANCE_"))
}

func orDash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}
