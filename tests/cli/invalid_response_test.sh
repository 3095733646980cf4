#!/usr/bin/env bash
# Which answers the command takes: none that is no HTTP response, and unusual ones that are.
# Usage: invalid_response_test.sh VIOLETWING
set -euo pipefail
program=$1
work=$(mktemp -d)
pid=
trap 'kill $pid 2>/dev/null && wait $pid 2>/dev/null || true; rm -rf "$work"' EXIT

fail() {
  echo "FAILED: $*"
  exit 1
}
# Answers each request with the bytes of the file, and closes the connection.
cat >"$work/stand_in.py" <<'PYTHON'
import socket, sys
listener = socket.create_server(("127.0.0.1", 0))
open(sys.argv[1] + ".new", "w").write("127.0.0.1:%d" % listener.getsockname()[1])
__import__("os").rename(sys.argv[1] + ".new", sys.argv[1])
while True:
    connection, _ = listener.accept()
    with connection:
        request = b""
        while b"\r\n\r\n" not in request:
            piece = connection.recv(65536)
            if not piece:
                break
            request += piece
        connection.sendall(open(sys.argv[2], "rb").read())
PYTHON
python3 "$work/stand_in.py" "$work/address" "$work/answer" &
pid=$!
for _ in $(seq 1 2000); do
  [ -e "$work/address" ] && break
  sleep 0.005  # between looks
done
address=$(cat "$work/address")

list='{"generation":7,"reset":true,"instances":[]}\n'
size=$(printf "$list" | wc -c)
# expect STATUS ANSWER: what each way of asking ends with, if it is answered so.
expect() {
  printf "$2" >"$work/answer"
  local status=0
  "$program" registry get --at "$address" >"$work/out" 2>"$work/err" || status=$?
  [ "$status" = "$1" ] || fail "registry get, answered with $2: $status, $(cat "$work/out" "$work/err")"
  [ "$1" = 0 ] || [ ! -s "$work/out" ] || fail "registry get, answered with $2: said $(cat "$work/out")"
  status=0
  "$program" registry watch --at "$address" --count 1 >"$work/out" 2>"$work/err" || status=$?
  [ "$status" = "$1" ] || fail "registry watch, answered with $2: $status, $(cat "$work/out" "$work/err")"
  status=0
  "$program" zone status --at "$address" >"$work/out" 2>"$work/err" || status=$?
  [ "$status" = "$1" ] || fail "zone status, answered with $2: $status, $(cat "$work/out" "$work/err")"
}

length="Content-Length: $size\r\n\r\n$list"
chunks="\r\n$(printf %x "$size")\r\n$list\r\n0\r\n\r\n"
for head in '000 OK\r\n' '099 OK\r\n' '600 OK\r\n' '20 OK\r\n' '2000 OK\r\n' '200 OK\r\nX Blank: 1\r\n' \
  '200 OK\r\nX-Blank : 1\r\n' '200 OK\r\nX\001Control: 1\r\n' '200 OK\r\nTransfer-Encoding: gzip\r\n'; do
  expect 1 "HTTP/1.1 $head$length"
done
expect 1 "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n$chunks"
expect 1 "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n$chunks"
expect 1 "HTTP/1.1 101 Switching Protocols\r\n\r\nHTTP/1.1 200 OK\r\n$length"

expect 0 "HTTP/1.1 200 \r\n$length"
expect 0 "HTTP/1.0 200 OK\r\n$length"
expect 0 "HTTP/1.1 200 OK\r\nX-Empty:\r\nX-High: \200\377\r\n$length"
expect 0 "HTTP/1.1 200 OK\r\nTransfer-Encoding: Chunked\r\n$chunks"
expect 0 "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 199 Other\r\n\r\nHTTP/1.1 200 OK\r\n$length"
