#!/usr/bin/env bash
# Runs one test day for each kind of fault or planned change on each site, with no other trouble in
# that day, and prints a Markdown table. Each cell shows the worth that the bench reports, and either
# the rule that was broken or "kept".
# usage: deploy/kinds.sh BENCH SITE...     (from the root of the repository; BENCH is the users' bench)
set -euo pipefail
bench="$1"
shift
day_dir="$(mktemp -d)"
trap 'rm -rf "$day_dir"' EXIT

# Each element: kind|array of the day's file that holds the event|further fields of the event
kinds=(
  "burst|faults|x = 1.7, for_s = 5.0" "shift|faults|share = 0.5, for_s = 6.0"
  "hot_key|faults|share = 0.4, count = 200, for_s = 5.0" "retry_abuse|faults|x = 3.0, share = 0.3, for_s = 5.0"
  "give_up|faults|share = 0.2, for_s = 5.0" "srv_crash|faults|share = 0.15, for_s = 4.5"
  "srv_cut|faults|share = 0.2, for_s = 8.0" "srv_slow|faults|share = 0.15, x = 5.0, for_s = 6.0"
  "srv_grey|faults|share = 0.15, x = 0.45, for_s = 6.0, how = \"shed\"" "release|plan|share = 0.5, x = 1.0, gap_s = 1.0"
  "applied_late|faults|x = 0.4, for_s = 6.0, how = \"all\"" "replace_with_reuse|faults|share = 0.2"
  "scale_out|plan|share = 0.3, gap_s = 1.0" "scale_in|plan|share = 0.15"
  "answer_lost|faults|share = 0.5, x = 0.05, for_s = 5.0" "garble|faults|share = 0.5, x = 0.03, for_s = 5.0"
  "node_kill|faults|on = \"core\", count = 1, how = \"leader\"" "node_freeze|faults|on = \"core\", count = 1, for_s = 4.0, how = \"leader\""
  "node_slow|faults|share = 0.2, x = 5.0, for_s = 6.0" "roll_term|plan|share = 1.0, x = 1.0, gap_s = 1.5"
  "herd_kill|faults|share = 0.6" "add_nodes|plan|count = 1"
  "replace_core|faults|x = 1.0, how = \"leader\"" "after_ack_kill|faults|for_s = 3.0, how = \"kill\""
  "clock_step|faults|share = 0.5, x = 2000, for_s = 6.0, how = \"back\"" "hup|plan|share = 0.5, gap_s = 1.0"
  "reset_conns|faults|share = 0.5, x = 0.8" "zone_cut|faults|for_s = 6.0"
  "core_cut|faults|count = 1, for_s = 6.0, how = \"leader\"" "node_cut|faults|share = 0.3, for_s = 8.0"
  "lossy|faults|x = 0.03, for_s = 6.0" "platform_down|faults|for_s = 6.0, how = \"silent\", share = 0.0"
  "platform_slow|faults|x = 60.0, for_s = 5.0" "platform_lost|faults|x = 0.35, for_s = 5.0, how = \"late\""
  "platform_compact|faults|x = 5.0, for_s = 10.0, how = \"drain\"" "config_change|plan|how = \"route\""
  "config_storm|plan|for_s = 4.0, gap_s = 0.3" "srv_flap|faults|share = 0.2, for_s = 8.0"
  "srv_lying_health|faults|share = 0.2, for_s = 6.0" "idle_race|faults|share = 0.3, for_s = 6.0"
)
for entry in "${kinds[@]}"; do
  IFS='|' read -r kind array fields <<<"$entry"
  printf 'name = "%s"\nslot = "trouble"\nseed = 5\n%s = [{ at = 6.0, kind = "%s", %s }]\n' \
    "$kind" "$array" "$kind" "$fields" >"$day_dir/$kind.toml"
done
echo "| kind | $(printf '%s | ' "${@##*/}")"
for entry in "${kinds[@]}"; do
  kind="${entry%%|*}"
  row="| \`$kind\` |"
  for site in "$@"; do
    result_line="$("$bench" run "$site" "$day_dir/$kind.toml" --jobs 1 2>&1 | grep -E "^$kind " | head -n 1 || true)"
    worth="$(awk '{print $4}' <<<"$result_line")"
    broken_rule="$(grep -oE 'BROKEN: [A-Z]+' <<<"$result_line" || true)"
    if [ -n "$worth" ]; then row="$row $worth ${broken_rule:-kept} |"; else row="$row not played |"; fi
  done
  echo "$row"
done
