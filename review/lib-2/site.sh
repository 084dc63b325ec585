# A small site on loopback addresses, for the scripts in review/7 to review/10: the store, targets
# and entries, each a process of its own. A script sources this file and calls `start_site`.
# The stand-ins are the project's own; the entries start with the command of the deploy file.

cd "$(dirname "${BASH_SOURCE[0]}")/../.."
almondworks=target/release/almondworks
standin=target/release/standin
tool=target/review-2/tool
for program in $almondworks $standin $tool; do
  if [ ! -x "$program" ]; then
    echo "$program is missing: run the build of the deploy file and review/build-2.sh" >&2
    exit 2
  fi
done
case_dir="$(cd "$(dirname "$0")" && pwd)"
record="$case_dir/record.txt"
run_dir="$(mktemp -d)"
pids=()
: >"$record"

clean_up() {
  for pid in "${pids[@]}"; do kill -CONT "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  rm -rf "$run_dir"
}
trap clean_up EXIT
trap 'exit 2' INT TERM

say() { echo "$*" >>"$record"; }

# Ends the script as one that could not run.
give_up() {
  say "could not run: $*"
  echo "could not run: $*" >&2
  exit 2
}

# usage: start_process NAME COMMAND...
start_process() {
  local name="$1"
  shift
  "$@" >"$run_dir/$name.out" 2>"$run_dir/$name.log" &
  pids+=("$!")
  last_pid=$!
}

# Writes the settings of an entry as `deploy/settings.jsonc` gives them for a small deployment.
# usage: write_settings NAME LISTEN READY PEER RELAY METRICS
write_settings() {
  cat >"$run_dir/$1.jsonc" <<SETTINGS
{ "vm": "$1", "zone": "a", "listen": "127.0.0.1:$2", "ready_listen": "127.0.0.1:$3",
  "peer_listen": "127.0.0.1:$4", "relay_listen": "127.0.0.1:$5", "metrics_listen": "127.0.0.1:$6",
  "store": "${entry_store:-$store}", "power": 0.2, "memory": ${MEMORY_MB:-260}, "descriptors": ${DESCRIPTORS:-4100},
  "first_start": true, "grace": "6s", "leaving": "2000ms", "hold_limit": "10000ms",
  "routing_apply": "2000ms",
  "retries": { "ratio": 0.2, "extra": 62, "window": "10s" } }
SETTINGS
}

# Starts the store, targets and entries, and waits until each entry serves a request.
# usage: start_site ENTRIES KEYED_TARGETS UNKEYED_TARGETS
start_site() {
  local entries=$1 keyed=$2 unkeyed=$3 number index ports
  mapfile -t ports < <($tool ports $((1 + keyed + unkeyed + 5 * entries)))
  store="127.0.0.1:${ports[0]}"
  index=1
  start_process store $standin rows --listen "$store"
  $standin request --wait 10 --brief "http://$store/almondworks/rows-get?table=op" >/dev/null ||
    give_up "the store does not answer"
  for number in $(seq 1 "$keyed"); do
    start_process "k$number" $standin holder --listen "127.0.0.1:${ports[$index]}" --store "$store" \
      --vm "k$number" --zone a --service catalogue --keyed --work-ms "${WORK_MS:-20}" \
      --journal "$run_dir/k$number.journal"
    index=$((index + 1))
  done
  for number in $(seq 1 "$unkeyed"); do
    if [ -n "${LARGE_ANSWERS:-}" ]; then
      start_process "u$number" $tool target listen="127.0.0.1:${ports[$index]}" store="$store" \
        vm="u$number" service=packs work_ms="${WORK_MS:-20}" body_bytes="$LARGE_ANSWERS"
      index=$((index + 1))
      continue
    fi
    start_process "u$number" $standin holder --listen "127.0.0.1:${ports[$index]}" --store "$store" \
      --vm "u$number" --zone a --service packs --work-ms "${WORK_MS:-20}" \
      --journal "$run_dir/u$number.journal"
    index=$((index + 1))
  done
  $standin request --method POST --brief "http://$store/admin/row" --body '{"table":"op","key":"config","value":{
    "version":1,
    "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeout":"10s","idleTimeout":"15s"},
    "services":[{"name":"catalogue","sharded":true,"maxConns":130},{"name":"packs","maxConns":130}],
    "hosts":[{"host":"shop.example","paths":[
      {"name":"lookups","pathPrefix":"/catalogue/","kind":"safe","timeout":"2s","targetLatency":"400ms","maxAttempts":2,"service":"catalogue"},
      {"name":"packs","pathPrefix":"/packs/","kind":"download","timeout":"2s","targetLatency":"400ms","maxAttempts":2,"service":"packs"},
      {"name":"orders","pathPrefix":"/orders/","kind":"unsafe","timeout":"2s","targetLatency":"500ms","service":"packs"}]}]}}' \
    >/dev/null || give_up "the store took no routing configuration"
  for number in $(seq 1 "$entries"); do
    write_settings "e$number" "${ports[@]:$index:5}"
    listen[$number]="127.0.0.1:${ports[$index]}"
    ready[$number]="127.0.0.1:${ports[$((index + 1))]}"
    index=$((index + 5))
    start_process "e$number" $almondworks entry --settings "$run_dir/e$number.jsonc"
    entry_pid[$number]=$last_pid
  done
  for number in $(seq 1 "$entries"); do
    $standin request --wait 20 --brief --header host=shop.example --header "attempt-id=5eed$number" \
      "http://${listen[$number]}/packs/first" >/dev/null || give_up "entry $number serves nothing"
    $standin request --wait 20 --brief "http://${ready[$number]}/almondworks/ready" >/dev/null ||
      give_up "entry $number is not ready"
  done
  declare -g store
}
