# Sourced by scripts that start processes. free_ports N WORK prints the first of N
# ports in a row that nobody uses, and keeps them from other runs of this function
# until WORK, the caller's own folder, is gone. They lie below the range from which
# the kernel takes the local ports of connections: a port of that range can be taken
# by any connection between the choice and the moment the process listens on it.

port_claims=${TMPDIR:-/tmp}/pimentofront-ports-$(id -u)

# Whether any socket, of any state, has its local end on one of the ports $1..$2.
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
      # A claim whose owner's folder is gone is over.
      if [ ! -e "$claim" ] || [ ! -d "$(cat "$claim")" ]; then
        echo "$2" >"$claim"
        ports_used "$first" $((first + $1 - 1)) || { echo "$first"; exit 0; }
        rm -f "$claim"
      fi
      first=$((first + block))
    done
    echo "no $1 free ports in a row" >&2
    exit 1
  ) 9>"$port_claims/lock"
}
