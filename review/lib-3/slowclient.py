"""A client that reads slowly over a path with packets of an ordinary size.

usage: slowclient.py HOST PORT PATH ID KEY BYTES_PER_S DEADLINE_MS

Sends one POST and reads its answer at the given rate. Prints the status, the
declared length, the bytes of the body that came, and how the connection ended.
"""
import socket
import sys
import time

host, port, path, request_id, key, rate, deadline = sys.argv[1:]
rate = int(rate)
sock = socket.socket()
# Loopback has packets of 64 KiB; networks have packets of about 1,400 bytes.
sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, 1400)
sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 8192)
sock.settimeout(20)
sock.connect((host, int(port)))
sock.sendall(
    (
        f"POST {path} HTTP/1.1\r\nHost: desk.example\r\n"
        f"Boragemill-Request-Id: {request_id}\r\n"
        f"Boragemill-Deadline-Ms: {deadline}\r\n"
        f"Api-Key: {key}\r\nContent-Length: 1\r\n\r\nx"
    ).encode()
)
STEP_S = 0.02
data = b""
length = None
body = 0
ended = "whole"
while length is None or body < length:
    began = time.monotonic()
    try:
        chunk = sock.recv(max(1, int(rate * STEP_S)))
    except OSError as error:
        ended = f"error {error}"
        break
    if not chunk:
        ended = "closed early"
        break
    if length is None:
        data += chunk
        head, found, rest = data.partition(b"\r\n\r\n")
        if not found:
            continue
        status = head.split(b" ")[1].decode()
        for line in head.split(b"\r\n"):
            name, _, value = line.partition(b":")
            if name.lower() == b"content-length":
                length = int(value)
        body = len(rest)
        print(f"head {status} {length}", flush=True)
    else:
        body += len(chunk)
    time.sleep(max(0, STEP_S - (time.monotonic() - began)))
print(f"end {body} {ended}", flush=True)
