"""Answers of a server that closes its connection after any of their bytes."""

import itertools

from thornlatch.core.tests.scripted import ScriptedTarget

FRAMINGS = ["length", "chunked", "close"]
INTERIM = {
    "none": b"",
    "100": b"HTTP/1.1 100 Continue\r\n\r\n",
    "102 and 103": (
        b"HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n"
    ),
}
CASES = list(itertools.product(FRAMINGS, INTERIM))


def build_answer(body, *, framing, interim="none", status=b"200 OK"):
    """Return an answer and the number of bytes without which it isn't whole."""
    head = INTERIM[interim] + b"HTTP/1.1 " + status + b"\r\nServer: x\r\n"
    if framing == "close":
        head += b"Connection: close\r\n\r\n"
        return head + body, len(head)
    if framing == "length":
        answer = head + b"Content-Length: %d\r\n\r\n" % len(body) + body
        return answer, len(answer)
    chunk = b"%x\r\n%s\r\n" % (len(body), body) if body else b""
    answer = head + b"Transfer-Encoding: chunked\r\n\r\n" + chunk + b"0\r\n\r\n"
    # All of the body is known with the line of the last chunk.
    return answer, len(answer) - len(b"\r\n")


def check_cuts(read, body, **form):
    """Check that a reader takes no answer for whole that was cut off.

    Parameters
    ----------
    read : callable
        Takes the address of a server; returns whether it took the answer for whole.
    body : bytes
    **form
        Of `build_answer`.
    """
    answer, needed_bytes = build_answer(body, **form)
    server = ScriptedTarget()
    try:
        for count in range(needed_bytes):
            server.build_answer = lambda _, count=count: answer[:count]
            assert not read(server.address), answer[:count]
        server.build_answer = lambda _: answer
        assert read(server.address), answer
    finally:
        server.close()
