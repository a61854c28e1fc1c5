#!/bin/sh
# Measures all slopes (seed 1) into slopes.jsonl and draws the main ones.
# Usage: docs/plots/measure.sh build/bin/peridot-bench
set -eu
bench=$1
here=$(dirname "$0")
for name in $("$bench" --list-slopes); do
    "$bench" --slope="$name" --seed=1 --json
done > "$here/slopes.jsonl"

draw() { # name, title, scale
    data=$(mktemp)
    grep "\"slope\":\"$1\"" "$here/slopes.jsonl" |
        grep -o '{"x":[^}]*}' | sed 's/{"x":\(.*\),"y":\(.*\)}/\1 \2/' > "$data"
    gnuplot << EOF
set terminal svg size 480,300 font "sans,10"
set output "$here/$1.svg"
set title "$2"
set key off
set grid
$3
plot "$data" using 1:2 with linespoints pointtype 7
EOF
    rm -f "$data"
}

draw query-cpu "Microseconds per query over servers per query" ""
draw engine-idle-cpu "Idle engine: microseconds per second over servers known" "set logscale xy"
draw share-cpu "Shares of 1000 servers: microseconds per change of members over members" ""
draw list-bytes "Bytes of the platform's list over servers" ""
draw period-cpu "Microseconds per probe period over members" ""
draw tail-hedged "Hedged once: p99 in ms over servers per query" "set yrange [0:350]"
draw tail-two-hedges "Hedged twice: p99 in ms over servers per query" "set yrange [0:350]"
