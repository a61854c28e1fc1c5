#!/usr/bin/env bash
# Runs both flood experiments and plots useful answers by class over time, with and without admission.
# Usage: floods.sh [SEED]; needs build/bin/peridot-bench and gnuplot.
set -euo pipefail
cd "$(dirname "$0")/../.."
seed=${1:-1}
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
for name in flood-low flood-urgent; do
    json=${FLOOD_RESULTS:-$work}/$name-$seed.json
    [ -s "$json" ] || build/bin/peridot-bench --experiment "$name" --seed "$seed" --json >"$json" || true
    for part in policy baseline; do
        node -e '
            const d = JSON.parse(require("fs").readFileSync(process.argv[1]));
            const r = process.argv[2] === "baseline" ? d.baseline : d;
            const names = ["urgent", "middle", "low"];
            const bins = names.map(n => r.classes[n].useful_by_bin);
            for (let i = 0; i < r.seconds * 4; i++)
                console.log(i / 4, ...bins.map(b => 4 * (b[i] || 0)));' "$json" "$part" >"$work/$name-$part.dat"
    done
    gnuplot <<PLOT
set terminal svg size 900,320
set output "docs/plots/$name.svg"
set multiplot layout 1,2 title "$name, seed $seed: useful answers per second by class"
set xlabel "seconds"; set ylabel "answers/s"; set yrange [0:1400]; set key top right
set title "admission on"
plot for [c=2:4] "$work/$name-policy.dat" using 1:c with lines lw 2 title word("urgent middle low", c-1)
set title "first in, first out"
plot for [c=2:4] "$work/$name-baseline.dat" using 1:c with lines lw 2 title word("urgent middle low", c-1)
PLOT
done
