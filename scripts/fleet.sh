# Starts the processes of a small fleet on loopback; sourced by scripts/demo and scripts/bench.
# Port numbers follow from WISTERIAHILL_DEMO_PORT. Every process that start() began is ended by finish(), by its id.

base=${WISTERIAHILL_DEMO_PORT:-18100}
work=$(mktemp -d)
zones=(sawshed dryhouse frontoffice)
servers_per_zone=4
ctl=build/src/tools/wisteriahillctl/wisteriahillctl
operator_secret=demo-operator
mill_secret=demo-mill
tours_secret=demo-tours
platform_port=$base
pids=()
failures=0

daemon_port() { echo $((base + 10 + $1 * 2 + $2)); }        # zone, number
peer_port() { echo $((base + 30 + $1 * 2 + $2)); }          # zone, number
server_port() { echo $((base + 50 + $1 * 10 + $2)); }       # zone, number
digest() { printf %s "$1" | sha256sum | cut -d' ' -f1; }

start() { # name, command...
  local name=$1
  shift
  "$@" >"$work/$name.log" 2>&1 &
  pids+=($!)
  eval "pid_${name//-/_}=$!"
}

finish() {
  for pid in "${pids[@]}"; do
    kill "$pid" 2>/dev/null
  done
  for pid in "${pids[@]}"; do
    wait "$pid" 2>/dev/null
  done
  rm -rf "$work"
}
operator() { WISTERIAHILL_CREDENTIAL=$operator_secret "$ctl" --host "127.0.0.1:$(daemon_port 0 0)" "$@"; }

write_settings() { # zone index, number
  local zone=${zones[$1]} name
  name="$zone-$2"
  cat >"$work/$name.json" <<SETTINGS
{
  // Settings of one entry host of the demonstration.
  "host": "$name",
  "zone": "$zone",
  "callers": { "address": "127.0.0.1", "port": $(daemon_port "$1" "$2") },
  "peers": { "address": "127.0.0.1", "port": $(peer_port "$1" "$2") },
  "platform": { "address": "127.0.0.1", "port": $platform_port },
  "seeds": [{ "address": "127.0.0.1", "port": $(peer_port 0 0) }],
  "bootstrap": { "team": "operators", "credentialSha256": "$(digest $operator_secret)" },
  "stop": { "notice": "500ms", "bound": "20s" }
}
SETTINGS
}

start_fleet() {
  start platform build/tests/platformstandin --port "$platform_port"
  for z in "${!zones[@]}"; do
    for s in $(seq 0 $((servers_per_zone - 1))); do
      start "server-$z-$s" build/tests/backendserverstandin --port "$(server_port "$z" "$s")"
    done
  done
  for z in "${!zones[@]}"; do
    for n in 0 1; do
      write_settings "$z" "$n"
      start "daemon-$z-$n" build/src/app/wisteriahilld --settings "$work/${zones[$z]}-$n.json"
    done
  done
  for _ in $(seq 50); do
    curl -s --max-time 2 -o /dev/null "http://127.0.0.1:$(daemon_port 0 0)/healthz" && break
    sleep 0.1
  done
}

# The inventory section of the fleet.
inventory() {
  local inventory z s
  inventory='{'
  for z in "${!zones[@]}"; do
    inventory+="\"${zones[$z]}\": {\"entryHosts\": 2, \"servers\": ["
    for s in $(seq 0 $((servers_per_zone - 1))); do
      inventory+="{\"id\": \"${zones[$z]}-w$s\", \"rack\": \"${zones[$z]}-r0\", \"position\": $s, \"address\": \"127.0.0.1\", \"port\": $(server_port "$z" "$s")}"
      [ "$s" -lt $((servers_per_zone - 1)) ] && inventory+=','
    done
    inventory+=']}'
    [ "$z" -lt $((${#zones[@]} - 1)) ] && inventory+=','
  done
  inventory+='}'
  echo "$inventory"
}
