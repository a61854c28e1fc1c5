#!/usr/bin/env bash
# Plots the outcomes that gateways logged by second: requests that were refused, failed, late or in
# part, and a sample of the others.
# Usage: day.sh OUTPUT.svg TITLE LOG...; needs build/bin/peridotctl and gnuplot.
set -euo pipefail
output=$1 title=$2
shift 2
tools=$(cd "$(dirname "$0")/../.." && pwd)
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
"$tools/build/bin/peridotctl" report "$@" >"$work/report"
columns=$(head -n 1 "$work/report" | awk '{ print NF }')
names=$(head -n 1 "$work/report" | awk '{ $1 = ""; print }')
# Seconds count from the first line; the last line holds the sums.
grep "^[0-9]" "$work/report" | awk '{
    split(substr($1, 12), t, ":"); s = t[1] * 3600 + t[2] * 60 + t[3]
    if (NR == 1) first = s
    $1 = s - first; print }' >"$work/data"
gnuplot <<PLOT
set terminal svg size 900,320
set output "$output"
set title "$title"
set xlabel "seconds of the log"; set ylabel "requests logged a second"; set key top left
plot for [c=2:$columns] "$work/data" using 1:c with lines lw 2 title word("$names", c-1) noenhanced
PLOT
