package ctl

import (
	"fmt"
	"strings"
	"text/tabwriter"
	"time"

	"banyanrun.example/banyanrun/wire"
)

// table formats rows in aligned columns. The first row is the heading.
func table(rows ...[]string) string {
	var b strings.Builder
	w := tabwriter.NewWriter(&b, 0, 0, 2, ' ', 0)
	for _, row := range rows {
		fmt.Fprintln(w, strings.Join(row, "\t"))
	}
	w.Flush()
	var out strings.Builder
	for line := range strings.Lines(b.String()) {
		out.WriteString(strings.TrimRight(line, " \n") + "\n")
	}
	return out.String()
}

// orDash returns "-" for an empty value, so that awk and cut still see the
// column.
func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}

// formatMillis formats a duration given in milliseconds.
func formatMillis(ms int64) string { return (time.Duration(ms) * time.Millisecond).String() }

// formatTime formats a time given in milliseconds since the Unix epoch.
func formatTime(ms int64) string {
	return time.UnixMilli(ms).UTC().Format("2006-01-02T15:04:05.000Z")
}

// formatUsage formats the used part of a total.
func formatUsage(used, whole int64) string { return fmt.Sprintf("%d/%d", used, whole) }

// formatCPUs formats a number of thousandths of a processor.
func formatCPUs(milli int64) string {
	return strings.TrimSuffix(strings.TrimRight(fmt.Sprintf("%.3f", float64(milli)/1000), "0"), ".")
}

// resourceCells formats the used part of each resource.
func resourceCells(used, whole wire.Resources) []string {
	return []string{
		formatCPUs(used.MilliCPU) + "/" + formatCPUs(whole.MilliCPU), formatUsage(used.MemoryMB, whole.MemoryMB),
		formatUsage(used.Accelerators, whole.Accelerators), formatUsage(used.Slots, whole.Slots),
		formatUsage(used.Connections, whole.Connections),
	}
}

// resourceHeadings are the column headings of resourceCells.
var resourceHeadings = []string{"CPUS", "MEMORY_MB", "ACCELERATORS", "SLOTS", "CONNECTIONS"}
