package bench

import (
	"bytes"
	"encoding/xml"
	"fmt"
	"math"
	"slices"
)

const (
	chartWidth  = 640
	rowHeight   = 34
	labelWidth  = 190
	titleHeight = 40
	barHeight   = 18
	valueWidth  = 90
)

// barChart draws the median of each figure as a bar, with a line from the minimum
// to the maximum over the runs, and returns the chart as SVG.
func barChart(figures []Figure) []byte {
	var out bytes.Buffer
	height := titleHeight + rowHeight*len(figures)
	_, _ = fmt.Fprintf(&out, `<svg xmlns="http://www.w3.org/2000/svg" width="%d" height="%d" font-family="sans-serif" font-size="13">`+"\n", chartWidth, height)
	_, _ = fmt.Fprintf(&out, `<text x="8" y="24" font-weight="bold">%s: %s [%s]</text>`+"\n",
		escape(figures[0].Layout), escape(figures[0].Name), escape(figures[0].Unit))
	scale := barScale(figures)
	for row, figure := range figures {
		drawBar(&out, figure, titleHeight+row*rowHeight, scale)
	}
	out.WriteString("</svg>\n")
	return out.Bytes()
}

// barScale returns the number of pixels per unit of the plotted quantity.
func barScale(figures []Figure) float64 {
	greatest := 0.0
	for _, figure := range figures {
		if values := withoutNaN(figure.Values); len(values) > 0 {
			greatest = math.Max(greatest, slices.Max(values))
		}
	}
	if greatest == 0 {
		return 0
	}
	return (chartWidth - labelWidth - valueWidth) / greatest
}

func drawBar(out *bytes.Buffer, figure Figure, top int, scale float64) {
	middle := top + barHeight/2
	_, _ = fmt.Fprintf(out, `<text x="8" y="%d">%s</text>`+"\n", middle+4, escape(figure.Variant))
	median := Median(figure.Values)
	if math.IsNaN(median) {
		return
	}
	_, _ = fmt.Fprintf(out, `<rect x="%d" y="%d" width="%.1f" height="%d" fill="#5b8db8"/>`+"\n", labelWidth, top, math.Max(0, median*scale), barHeight)
	least, greatest := slices.Min(withoutNaN(figure.Values)), slices.Max(withoutNaN(figure.Values))
	_, _ = fmt.Fprintf(out, `<line x1="%.1f" x2="%.1f" y1="%d" y2="%d" stroke="black"/>`+"\n",
		labelWidth+least*scale, labelWidth+greatest*scale, middle, middle)
	_, _ = fmt.Fprintf(out, `<text x="%.1f" y="%d">%s</text>`+"\n", labelWidth+greatest*scale+6, middle+4, formatNumber(median))
}

func escape(text string) string {
	var out bytes.Buffer
	_ = xml.EscapeText(&out, []byte(text))
	return out.String()
}
