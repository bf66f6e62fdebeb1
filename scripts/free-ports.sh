# Sourced by scripts that start processes. free_ports N WORK prints the first of N
# consecutive unused ports and reserves them against other calls of this function
# until WORK, the caller's own folder, is deleted. The ports are below the range of
# ephemeral ports: the kernel may give a port of that range to any connection before
# the process listens on it.

port_claims=${TMPDIR:-/tmp}/pimentofront-ports-$(id -u)

# Succeeds if a socket in any state has a local port in the range $1..$2.
ports_used() {
  cat /proc/net/tcp /proc/net/tcp6 2>/dev/null | awk -v first="$1" -v last="$2" '
    function number(hex, n, i) {
      for (i = 1; i <= length(hex); i++)
        n = n * 16 + index("0123456789ABCDEF", substr(hex, i, 1)) - 1
      return n
    }
    FNR > 1 && split($2, end, ":") == 2 {
      port = number(end[2])
      if (port >= first && port <= last) used = 1
    }
    END { exit !used }'
}

free_ports() {
  mkdir -p "$port_claims"
  (
    flock 9
    block=50
    limit=$(cut -f1 /proc/sys/net/ipv4/ip_local_port_range)
    first=10000
    while [ $((first + block)) -le "$limit" ]; do
      claim=$port_claims/$first
      # A reservation expires when its owner's folder is deleted.
      if [ ! -e "$claim" ] || [ ! -d "$(cat "$claim")" ]; then
        echo "$2" >"$claim"
        ports_used "$first" $((first + $1 - 1)) || { echo "$first"; exit 0; }
        rm -f "$claim"
      fi
      first=$((first + block))
    done
    echo "no $1 consecutive free ports" >&2
    exit 1
  ) 9>"$port_claims/lock"
}
