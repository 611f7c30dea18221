# Functions that start and stop a small system on loopback. To be sourced by scripts
# that have set `bin`, and `work` to a temporary directory of their own.

token=a-token-of-this-run-only
pids=""
platform=""
seeds=""
entries=""
operators=""
slots=16

# end_all terminates all processes started by these functions.
end_all() {
    for p in $pids; do
        kill -TERM "$p" 2>/dev/null || true
    done
    for p in $pids; do
        wait "$p" 2>/dev/null || true
    done
    pids=""
}

# standin NAME ARGUMENTS... starts a stand-in and sets `address`.
standin() {
    name=$1
    shift
    "$bin/chiveramp-standin" "$@" >"$work/$name.out" 2>"$work/$name.err" &
    pid=$!
    pids="$pids $pid"
    tries=0
    until address=$(sed -n 's/^ready [^ ]* [^ ]* //p' "$work/$name.out" 2>/dev/null) && [ -n "$address" ]; do
        tries=$((tries + 1))
        if [ "$tries" -gt 200 ]; then
            echo "$name did not start:" && cat "$work/$name.err"
            exit 1
        fi
        sleep 0.05
    done
}

# start_platform OPTIONS... starts the platform stand-in and sets `platform`.
start_platform() {
    standin platform platform "$@"
    platform=$address
}

# member SERVICE NAME ADDRESS REGION DATACENTRE registers a member with the platform.
member() {
    "$bin/chiveramp-standin" member --platform "$platform" --service "$1" --name "$2" \
        --address "$3" --region "$4" --datacentre "$5"
}

# start_engine NAME SERVICE REGION DATACENTRE OPTIONS... starts a model engine and registers it.
start_engine() {
    e_name=$1 e_service=$2 e_region=$3 e_dc=$4
    shift 4
    standin "$e_name" engine --name "$e_name" "$@"
    member "$e_service" "$e_name" "$address" "$e_region" "$e_dc"
}

# start_service NAME REGION DATACENTRE starts a plain service and registers it.
start_service() {
    standin "$1-$3" service --name "$1"
    member "$1" "$1-$3" "$address" "$2" "$3"
}

# start_instance NAME REGION DATACENTRE SERVICES [LEVEL] starts a chiverampd and
# registers it. Sets `pid`, `caller`, `operator` and `metrics`.
start_instance() {
    set -- "$@" info
    # shellcheck disable=SC2046 # one word for each address
    set -- "$1" "$2" "$3" "$4" "$5" $("$bin/chiveramp-load" ports --count 4)
    caller=$6 peer=$7 operator=$8 metrics=$9
    cat >"$work/$1.ini" <<END
[instance]
name = $1
region = $2
datacentre = $3
[caller]
listen = $caller
keep = 1s
[peer]
listen = $peer
${seeds:+seeds = $seeds}
[operator]
listen = $operator
token = $token
[platform]
address = http://$platform
endpoints = $4
[endpoint]
slots = $slots
[log]
level = $5
[metrics]
listen = $metrics
END
    member chiveramp "$1" "$peer" "$2" "$3"
    "$bin/chiverampd" --config "$work/$1.ini" 2>"$work/$1.log" &
    pid=$!
    pids="$pids $pid"
    seeds="${seeds:+$seeds,}$peer"
    entries="${entries:+$entries,}$caller"
    operators="${operators:+$operators,}$operator"
}

# operate ARGUMENTS... runs the command-line client for operators.
operate() {
    "$bin/chiveramp" --address "$operators" --token "$token" "$@"
}

title() { printf '\n== %s\n' "$*"; }

# start_guaiba starts stand-ins for a part of examples/guaiba.ini and four instances in
# two regions, and sets `urls` to their readiness URLs. It writes the addresses and
# process ids of the instances to "$work/processes".
start_guaiba() {
    services="matcher,board-app,handover,catalog"
    title "stand-ins: a platform, four engines, two plain services"
    start_platform
    start_engine matcher-1 matcher litoral-sul litoral-1 --memory 80GiB \
        --models matcher-full@2026-09=14GiB,matcher-bus-centro=6GiB
    start_engine matcher-2 matcher serra-norte serra-1 --memory 80GiB \
        --models matcher-full@2026-09=14GiB,matcher-ski-pista=6GiB
    start_engine board-1 board-app litoral-sul litoral-1 --models board-citizen=4GiB,board-clerk=4GiB
    start_engine board-2 board-app serra-norte serra-1 --models board-citizen=4GiB,board-ski=4GiB
    start_service handover litoral-sul litoral-1
    start_service catalog serra-norte serra-1

    title "four instances in two regions"
    urls=""
    for place in litoral-1a:litoral-sul:litoral-1 litoral-1b:litoral-sul:litoral-1 \
        serra-1a:serra-norte:serra-1 serra-1b:serra-norte:serra-1; do
        IFS=: read -r name region dc <<<"$place"
        start_instance "$name" "$region" "$dc" "$services"
        echo "$caller $name $pid" >>"$work/processes"
        urls="$urls http://$metrics/ready"
        echo "$name process $pid callers $caller operators $operator"
    done
    # shellcheck disable=SC2086 # one word for each URL
    "$bin/chiveramp-load" await $(printf '%s\n' $urls | sed 's/ready$/health/')
}
