"""Servers that send given bytes, and then end or keep their connections."""

import contextlib
import re
import socket
import threading


class ScriptedTarget:
    """Answers each connection with the bytes that `build_answer` makes of a path.

    Parameters
    ----------
    end : str
        "close" closes the connection after them, and "keep" leaves it open until the
        target is closed.
    """

    def __init__(self, end="close"):
        self.end = end
        self.build_answer = None
        self.connections = []
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self.listener.getsockname()[1]}"
        self.thread = threading.Thread(target=self.accept, daemon=True)
        self.thread.start()

    def accept(self):
        while True:
            try:
                connection, _ = self.listener.accept()
            except OSError:
                return
            path = _read_request(connection).split()[1].decode()
            connection.sendall(self.build_answer(path))
            if self.end == "keep":
                self.connections.append(connection)
                continue
            connection.close()

    def close(self):
        with contextlib.suppress(OSError):
            self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()
        for connection in self.connections:
            connection.close()
        self.thread.join(10)


def _read_request(connection):
    # Closing a connection with unread bytes would reset it.
    request = b""
    while True:
        head, end, body = request.partition(b"\r\n\r\n")
        length = re.search(rb"(?i)\r\ncontent-length: *(\d+)", head)
        if end and len(body) >= int(length[1] if length else 0):
            return request
        data = connection.recv(1 << 16)
        if not data:
            return request
        request += data


class ExtraTarget:
    """Answers each request on any connection with the same bytes.

    Parameters
    ----------
    answer : bytes

    Attributes
    ----------
    extra : bytes
        Written after each answer.
    is_silent : bool
        Whether it receives requests and answers none.
    silent_connections : list of socket
        Connections on which it does so.
    """

    def __init__(self, answer):
        self.answer = answer
        self.extra = b""
        self.is_silent = False
        self.silent_connections = []
        self.connections = []
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self.listener.getsockname()[1]}"
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            try:
                connection, _ = self.listener.accept()
            except OSError:
                return
            self.connections.append(connection)
            threading.Thread(
                target=self.answer_all, args=(connection,), daemon=True
            ).start()

    def answer_all(self, connection):
        try:
            while connection.recv(1 << 16):
                if self.is_silent or connection in self.silent_connections:
                    continue
                connection.sendall(self.answer + self.extra)
        except OSError:
            return

    def close(self):
        self.listener.close()
        for connection in self.connections:
            connection.close()
