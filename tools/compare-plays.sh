#!/usr/bin/env bash
# Plays the same days and seeds of a site with several trees of the program, side by side, and compares their mean worth.
#
# usage: tools/compare-plays.sh BENCH SITE DAYS SEEDS JOBS TREE...
# BENCH and SITE are absolute paths; DAYS and SEEDS are lists separated by spaces. Trees are working copies; the first is what
# the others are compared with. Outputs stay in a new folder, whose name is printed.
set -euo pipefail
bench=$1 site=$2 days=$3 seeds=$4 jobs=$5
shift 5
out=$(mktemp -d)
echo "outputs: $out"
for tree in "$@"; do (cd "$tree" && "$bench" build > "$out/build" 2>&1) || { echo "building $tree failed:"; tail -3 "$out/build"; exit 1; }; done
play() {
	cd "$1" && "$BENCH" run "$SITE" "$2" --no-cpu --seed "$3" --jobs 1 --why "comparison of $(basename "$1")" > "$OUT/$(basename "$1").$2.$3" 2>&1 || true
}
export -f play
BENCH=$bench SITE=$site OUT=$out
export BENCH SITE OUT
for seed in $seeds; do for day in $days; do for tree in "$@"; do echo "$(cd "$tree" && pwd) $day $seed"; done; done; done |
	xargs -P "$jobs" -L 1 bash -c 'play "$@"' play
for tree in "$@"; do
	for day in $days; do for seed in $seeds; do
		name=$(basename "$tree")
		echo "$name $day $seed $(sed -n 's/^worth \([-0-9.]*\) = .*worst windows \([0-9.]*\).*/\1 \2/p' "$out/$name.$day.$seed" | head -1)"
	done; done
done | awk '
	NF < 5 { print "no result: " $1, $2, "seed", $3; next }
	!($1 in count) { tree[++trees] = $1 }
	!($2 in seen) { seen[$2]; day[++dayCount] = $2 }
	{ worth[$1, $2, $3] = $4; sum[$1] += $4; windows[$1] += $5; count[$1]++; daySum[$1, $2] += $4; dayPlays[$1, $2]++; plays[$2, $3] }
	END {
		printf "%-20s %6s %8s %8s %7s %5s ", "tree", "mean", "change", "error", "windows", "plays"
		for (d = 1; d <= dayCount; d++) printf " %9s", day[d]
		print ""
		for (t = 1; t <= trees; t++) {
			name = tree[t]; n = total = squares = 0
			for (key in plays) {
				split(key, part, SUBSEP)
				if (!((name, part[1], part[2]) in worth) || !((tree[1], part[1], part[2]) in worth)) continue
				change = worth[name, part[1], part[2]] - worth[tree[1], part[1], part[2]]
				n++; total += change; squares += change * change
			}
			error = n > 1 ? sqrt((squares - total * total / n) / (n - 1) / n) : 0
			printf "%-20s %6.3f %+8.3f %8.3f %7.3f %5d ", name, sum[name] / count[name], n ? total / n : 0, error, windows[name] / count[name], count[name]
			for (d = 1; d <= dayCount; d++) printf " %9.3f", dayPlays[name, day[d]] ? daySum[name, day[d]] / dayPlays[name, day[d]] : 0
			bar = sprintf("%*s", int(sum[name] / count[name] * 60 + 0.5), ""); gsub(/ /, "#", bar)
			print "  " bar
		}
	}'
