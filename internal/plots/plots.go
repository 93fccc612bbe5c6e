// Package plots draws bar charts of measurements, as SVG or PNG depending on the file name's extension.
package plots

import (
	"fmt"
	"image/color"
	"path/filepath"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// Series is a named data series; Y holds one value per label.
type Series struct {
	Name string
	Y    []float64
}

// colors are the colours of series, distinguishable with colour-vision deficiency.
var colors = []color.Color{color.RGBA{0, 114, 178, 255}, color.RGBA{230, 159, 0, 255}, color.RGBA{0, 158, 115, 255},
	color.RGBA{204, 121, 167, 255}, color.RGBA{86, 180, 233, 255}, color.RGBA{213, 94, 0, 255}}

// CheckFormat returns an error if a file name's extension is not .svg or .png.
func CheckFormat(file string) error {
	switch strings.ToLower(filepath.Ext(file)) {
	case ".svg", ".png":
		return nil
	}
	return fmt.Errorf("%s: unsupported plot format; the file name must end in .svg or .png", file)
}

// save writes a plot of 18 cm by 11 cm.
func save(p *plot.Plot, file string) error {
	if err := CheckFormat(file); err != nil {
		return err
	}
	return p.Save(18*vg.Centimeter, 11*vg.Centimeter, file)
}

// Bars draws a bar chart with one group of bars per label and one bar per series in each group. All bars together are about
// 220 points wide, but each is at least 2.
func Bars(file, title, yLabel string, labels []string, series []Series) error {
	p := plot.New()
	p.Title.Text, p.Y.Label.Text = title, yLabel
	p.Legend.Top = true
	width := vg.Points(max(2, 220/float64(max(1, len(labels)*len(series)))))
	for i, s := range series {
		b, err := plotter.NewBarChart(plotter.Values(s.Y), width)
		if err != nil {
			return fmt.Errorf("%s: %w", s.Name, err)
		}
		b.Color, b.LineStyle.Width = colors[i%len(colors)], 0
		b.Offset = width * vg.Length(float64(i)-float64(len(series)-1)/2)
		p.Add(b)
		p.Legend.Add(s.Name, b)
	}
	p.NominalX(labels...)
	return save(p, file)
}
