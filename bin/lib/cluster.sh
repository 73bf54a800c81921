# Functions to run the whole system and its stand-ins as separate processes on free loopback ports.
# Sourced by bin/demo, bin/chaos and bin/lib/bench-overhead.

HOST=127.0.0.1
# Maximum number of answers that an engine generates concurrently.
BATCH_LIMIT=${BATCH_LIMIT:-32}
ZONES=(vake saburtalo didube)
declare -A PIDS PORTS

# start NAME COMMAND...: runs a command in the background, with its output in $RUN/NAME.log.
start() {
  local name=$1
  shift
  "$@" > "$RUN/$name.log" 2>&1 &
  PIDS[$name]=$!
}

# wait_for NAME PATTERN: waits up to 20 s for the pattern in the log; prints what its group matched.
wait_for() {
  local tries=0 found
  while [ "$tries" -lt 400 ]; do
    found=$(sed -nE "s/.*$2.*/\\1/p" "$RUN/$1.log" 2> /dev/null | tail -n 1)
    [ -n "$found" ] && { echo "$found"; return 0; }
    kill -0 "${PIDS[$1]}" 2> /dev/null || break
    tries=$((tries + 1))
    sleep 0.05
  done
  echo "cluster: $1 did not start:" >&2
  cat "$RUN/$1.log" >&2
  return 1
}

# http METHOD PORT PATH [BODY] [TOKEN]: sends one request using only the shell; prints the response body.
http() {
  local method=$1 port=$2 path=$3 body=${4:-} token=${5:-}
  exec 3<> "/dev/tcp/$HOST/$port" || return 1
  printf '%s %s HTTP/1.0\r\nHost: %s\r\nContent-Length: %s\r\n' \
    "$method" "$path" "$HOST" "$(printf '%s' "$body" | wc -c)" >&3
  [ -n "$token" ] && printf 'Authorization: Bearer %s\r\n' "$token" >&3
  printf '\r\n%s' "$body" >&3
  sed '1,/^\r$/d' <&3
  exec 3>&-
}

stand_in() {
  local name=$1
  shift
  start "$name" "$ROOT/bin/ibishub-standin" "$@"
}

port_of_stand_in() { PORTS[$1]=$(wait_for "$1" "ready .*:([0-9]+)"); }

start_stand_ins() {
  stand_in log log
  stand_in list vm-list --lag-millis 300
  stand_in weights weight-store
  local i
  for i in 1 2 3 4; do
    stand_in "engine-$i" engine --served dictionary,coding --step-millis 5 \
      --batch-limit "$BATCH_LIMIT"
  done
  for i in 1 2; do stand_in "service-$i" service; done
  stand_in group engine --group quiz-ranks --ranks 4 --experts 16 --served quiz \
    --step-millis 5 --drift-seconds 60
  for i in log list weights engine-{1,2,3,4} service-{1,2}; do port_of_stand_in "$i"; done
  wait_for group "ready .*:([0-9]+)" > /dev/null
  while [ "$(grep -c '^ready' "$RUN/group.log")" -lt 4 ]; do sleep 0.05; done
  for i in 0 1 2 3; do
    PORTS[group-$i]=$(sed -nE "$((i + 1))s/^ready .*:([0-9]+)/\1/p" "$RUN/group.log")
  done
}

common_settings() {
  cat << SETTINGS
  "zone": "$1", "site": "tbilisi", "host": "$HOST",
  "logUrl": "http://$HOST:${PORTS[log]}",
  "virtualMachineListUrl": "http://$HOST:${PORTS[list]}",
SETTINGS
}

# start_entry N [CALLER_PORT PEER_PORT]
start_entry() {
  local name=entry-$1 zone=${ZONES[$((($1 - 1) % 3))]}
  cat > "$RUN/$name.json" << SETTINGS
{
  "processId": "$name",
$(common_settings "$zone")
  "callerPort": ${2:-0}, "peerPort": ${3:-0},
  "addressValiditySeconds": 4, "drainSeconds": 40, "requestTimeoutSeconds": 30,
  "operators": [{ "name": "demo", "token": "demo-operator-token", "role": "admin" }]
}
SETTINGS
  start "$name" "$ROOT/bin/ibishub-entry" --settings "$RUN/$name.json"
}

# start_agent NAME ZONE_NUMBER KIND_SETTINGS [PORT]
start_agent() {
  local zone=${ZONES[$((($2 - 1) % 3))]}
  cat > "$RUN/$1.json" << SETTINGS
{
  "targetId": "$1",
$(common_settings "$zone")
  "port": ${4:-0}, "drainSeconds": 30,
  $3
}
SETTINGS
  start "$1" "$ROOT/bin/ibishub-agent" --settings "$RUN/$1.json"
}

model_settings() {
  echo "\"kind\": \"model\", \"engineUrl\": \"http://$HOST:${PORTS[engine-$1]}\"," \
    "\"weightStoreUrl\": \"http://$HOST:${PORTS[weights]}\", \"maximumConcurrency\": $BATCH_LIMIT"
}

rank_settings() {
  echo "\"kind\": \"model\", \"engineUrl\": \"http://$HOST:${PORTS[group-$1]}\"," \
    "\"weightStoreUrl\": \"http://$HOST:${PORTS[weights]}\"," \
    "\"group\": \"quiz-ranks\", \"rank\": $1, \"maximumConcurrency\": 32"
}

service_settings() {
  echo "\"kind\": \"service\", \"service\": \"panel\"," \
    "\"serviceUrl\": \"http://$HOST:${PORTS[service-$1]}\""
}

start_agents() {
  local i
  for i in 1 2 3 4; do start_agent "model-$i" "$i" "$(model_settings "$i")"; done
  for i in 1 2; do start_agent "panel-$i" "$i" "$(service_settings "$i")"; done
  for i in 0 1 2 3; do start_agent "rank-$i" 1 "$(rank_settings "$i")"; done
  for i in model-{1,2,3,4} panel-{1,2} rank-{0,1,2,3}; do
    PORTS[$i]=$(wait_for "$i" "event=agent.started port=([0-9]+)")
  done
}

start_entries() {
  local i
  for i in 1 2 3; do start_entry "$i"; done
  for i in 1 2 3; do
    PORTS[entry-$i]=$(wait_for "entry-$i" "event=entry.started callerPort=([0-9]+)")
    PORTS[peer-$i]=$(wait_for "entry-$i" "event=entry.started .*peerPort=([0-9]+)")
  done
}

# list_machines [LEAVING...]: sets the platform's list of VMs.
list_machines() {
  local machines="" i leaving
  machine() {
    leaving=false
    case " $LEAVING " in *" $1 "*) leaving=true ;; esac
    machines+="${machines:+,}{\"id\":\"$1\",\"role\":\"$2\",\"zone\":\"${ZONES[$((($3 - 1) % 3))]}\""
    machines+=",\"host\":\"$HOST\",\"port\":$4,\"leaving\":$leaving}"
  }
  LEAVING="$*"
  for i in 1 2 3; do machine "entry-$i" entry "$i" "${PORTS[peer-$i]}"; done
  for i in 1 2 3 4; do machine "model-$i" agent "$i" "${PORTS[model-$i]}"; done
  for i in 1 2; do machine "panel-$i" agent "$i" "${PORTS[panel-$i]}"; done
  for i in 0 1 2 3; do machine "rank-$i" agent 1 "${PORTS[rank-$i]}"; done
  http PUT "${PORTS[list]}" /control/virtual-machines "[$machines]"
}

entry_urls() {
  echo "http://$HOST:${PORTS[entry-1]},http://$HOST:${PORTS[entry-2]},http://$HOST:${PORTS[entry-3]}"
}

# wait_ready ENTRY_NUMBER: waits until the entry has a configuration and links to all ten agents.
wait_ready() {
  local tries=0
  until http GET "${PORTS[entry-$1]}" /metrics | grep -q '^ibishub_entry_targets 10'; do
    tries=$((tries + 1))
    [ "$tries" -lt 200 ] || { echo "cluster: entry-$1 has not linked all targets" >&2; return 1; }
    sleep 0.1
  done
}

# wait_evacuated ENTRY_NUMBER COUNT: waits until the entry knows so many evacuated zones.
wait_evacuated() {
  local tries=0
  until http GET "${PORTS[entry-$1]}" /metrics | grep -q "^ibishub_entry_evacuated_zones $2"; do
    tries=$((tries + 1))
    [ "$tries" -lt 200 ] || { echo "cluster: entry-$1 does not know $2 evacuated zones" >&2; return 1; }
    sleep 0.1
  done
}

# mixed_steps: prints how many steps of the group used two maps, as the engine recorded.
mixed_steps() {
  http GET "${PORTS[group-0]}" /control/group | sed -n 's/.*"mixedStepCount":\([0-9]*\).*/\1/p'
}

# stop_all: kills every process that was started here, by its process id, and no other.
stop_all() {
  local name
  for name in "${!PIDS[@]}"; do kill -KILL "${PIDS[$name]}" 2> /dev/null || true; done
  wait 2> /dev/null || true
}
