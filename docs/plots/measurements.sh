#!/usr/bin/env bash
# Prints the tables of docs/measurements.md from the JSON of experiments.
# Usage: measurements.sh RESULT.json...; needs node.
set -euo pipefail
node -e '
    const fs = require("fs");
    const percent = x => (100 * x).toFixed(2) + "%";
    const short = x => Number(x.toPrecision(5)).toString();
    const table = r => {
        console.log(`capacity ${Math.round(r.capacity_qps)}/s, useful ${Math.round(r.useful_qps)}/s, ` +
            `extra server requests ${percent(r.extra_load)}, idle cores ${Math.round(100 * r.machine_idle)}%\n`);
        const names = ["urgent", "middle", "low"].filter(n => r.classes && r.classes[n]);
        if (names.length === 0) return;
        console.log("| class | sent | in target | refused, not run | unknown | p50 ms | p99 ms | p99.9 ms | coverage |");
        console.log("|---|---|---|---|---|---|---|---|---|");
        for (const n of names) {
            const c = r.classes[n];
            console.log(`| ${n} | ${c.sent} | ${percent(c.in_target / c.sent)} | ${c.refused_not_run} | ${c.unknown} | ` +
                [c.p50_ms, c.p99_ms, c.p999_ms].map(x => x.toFixed(1)).join(" | ") + ` | ${percent(c.coverage)} |`);
        }
        console.log("");
    };
    for (const file of process.argv.slice(1)) {
        const r = JSON.parse(fs.readFileSync(file));
        console.log(`## ${r.experiment}, seed ${r.seed}\n`);
        table(r);
        console.log("| bound | stated | measured | met |\n|---|---|---|---|");
        for (const b of r.bounds)
            console.log(`| ${b.name} | ${b.bound} | ${short(b.value)} | ${b.met ? "yes" : "NO"} |`);
        console.log("");
        if (!r.baseline) continue;
        console.log(`Baseline of ${r.experiment}, seed ${r.seed}:\n`);
        table(r.baseline);
    }' "$@"
