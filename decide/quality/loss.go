package quality

import (
	"cmp"
	"slices"
)

// FindingInterval is a finding as the history keeps it: a group and the time during which the finding was active.
type FindingInterval struct {
	Dim, Name string
	From, To  float64 // on the same scale as the losses' windows
}

// GroupLoss is the quality that one group lost in one window.
type GroupLoss struct {
	Dim, Name   string
	From, To    float64 // the window, on the caller's scale
	QualityLost float64
}

// CauseLoss is the quality lost that is attributed to one cause.
type CauseLoss struct {
	Cause       string
	QualityLost float64
}

// attributionOrder is the order in which dimensions claim a window's loss, by their external names. What one group
// loses is also lost by every group that shares its sessions, and counts for the first of them: for places (a rack,
// then its media nodes) before titles, and for a title before its class, tenant and the players' families, which span
// many titles.
var attributionOrder = []string{"rack", "box", "title", "class", "brand", "family"}

// AttributeLoss divides the quality lost among the findings. Each finding gets what its group lost in the windows that
// it overlaps, in attributionOrder and never more than is left of the window's total; the remainder is listed last,
// as having no cause found. total is the loss of each window over all groups, by the time at which the window starts.
// The names of the dimensions are the external ones.
func AttributeLoss(total map[float64]float64, losses []GroupLoss, findings []FindingInterval) []CauseLoss {
	remaining := map[float64]float64{}
	for from, lost := range total {
		remaining[from] = lost
	}
	byCause := map[string]float64{}
	for _, dim := range attributionOrder {
		for _, finding := range findings {
			if finding.Dim != dim {
				continue
			}
			cause := finding.Dim + " " + finding.Name
			for _, loss := range losses {
				if loss.Dim != finding.Dim || loss.Name != finding.Name || loss.To <= finding.From || loss.From >= finding.To {
					continue
				}
				attributed := min(max(loss.QualityLost, 0), remaining[loss.From])
				remaining[loss.From] -= attributed
				byCause[cause] += attributed
			}
		}
	}
	var out []CauseLoss
	for cause, lost := range byCause {
		out = append(out, CauseLoss{cause, lost})
	}
	slices.SortFunc(out, func(a, b CauseLoss) int {
		return cmp.Or(cmp.Compare(b.QualityLost, a.QualityLost), cmp.Compare(a.Cause, b.Cause))
	})
	unattributed := 0.0
	for _, lost := range remaining {
		unattributed += lost
	}
	return append(out, CauseLoss{"no cause found", unattributed})
}
