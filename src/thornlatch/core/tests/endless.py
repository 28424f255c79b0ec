"""A server in trouble: it sends bytes without end that complete no answer."""

import itertools
import socket
import threading
import time

PAUSE_S = 0.02  # too short for a single read to time out
HEAD = b"HTTP/1.1 200 OK\r\n"
CHUNKED_HEAD = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
HEADS = {
    "status line": (b"HTTP/1.1 200 ", b"x"),
    "header": (HEAD + b"Name: ", b"x"),
    "headers": (HEAD, b"Name: x\r\n"),
    "interim answers": (b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
}
BODIES = {
    "chunk size": (CHUNKED_HEAD, b"0"),
    "chunks": (CHUNKED_HEAD, b"1\r\nx\r\n"),
    "trailers": (CHUNKED_HEAD + b"0\r\n", b"Name: x\r\n"),
    "length": (HEAD + b"Content-Length: 1000000000\r\n\r\n", b"x"),
    "close": (HEAD + b"Connection: close\r\n\r\n", b"x"),
}
SPEEDS = {"full speed": (1000, 0.0), "now and then": (1, PAUSE_S)}


class EndlessTarget:
    """Answers each connection with a start and then a part without end."""

    def __init__(self, start, part, pause_s):
        self.parts = itertools.chain([start], itertools.repeat(part))
        self.pause_s = pause_s
        self.was_closed = threading.Event()
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self.listener.getsockname()[1]}"
        self.thread = threading.Thread(target=self.answer, daemon=True)
        self.thread.start()

    def answer(self):
        connection, _ = self.listener.accept()
        with connection:
            connection.recv(1 << 16)
            try:
                for part in self.parts:
                    connection.sendall(part)
                    time.sleep(self.pause_s)
            except OSError:
                self.was_closed.set()

    def close(self):
        self.listener.close()
