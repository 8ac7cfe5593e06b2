package report

import (
	"bytes"
	"encoding/csv"
	"strconv"

	"github.com/gravitational/trace"
)

// Columns of a sweep that are drawn against each other.
const (
	columnGroup       = "group"
	columnConvergence = "convergence_p99_s"
	columnBytes       = "bytes_per_node_second"
)

// ReadTable reads a CSV file with a line of column names, such as that of a
// sweep. Rows that hold both convergence time and control traffic are plotted.
func ReadTable(name string, content []byte) (Document, error) {
	rows, err := csv.NewReader(bytes.NewReader(content)).ReadAll()
	if err != nil {
		return Document{}, trace.BadParameter("is not a table: %v", err)
	}
	if len(rows) < 2 {
		return Document{}, trace.BadParameter("holds no row below its column names")
	}
	document := Document{Name: name, Table: rows}
	columns := map[string]int{}
	for index, column := range rows[0] {
		columns[column] = index
	}
	for _, row := range rows[1:] {
		if point, drawn := pointOfRow(columns, row); drawn {
			document.Points = append(document.Points, point)
		}
	}
	return document, nil
}

func pointOfRow(columns map[string]int, row []string) (Point, bool) {
	convergence, hasConvergence := columns[columnConvergence]
	traffic, hasTraffic := columns[columnBytes]
	if !hasConvergence || !hasTraffic {
		return Point{}, false
	}
	seconds, err := strconv.ParseFloat(row[convergence], 64)
	if err != nil {
		return Point{}, false
	}
	bytesPerSecond, err := strconv.ParseFloat(row[traffic], 64)
	if err != nil {
		return Point{}, false
	}
	point := Point{Bytes: bytesPerSecond, ConvergenceMS: 1000 * seconds}
	if group, grouped := columns[columnGroup]; grouped {
		point.Group = row[group]
	}
	return point, true
}
