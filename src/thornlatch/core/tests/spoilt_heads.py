"""Heads of answers that a server in trouble has spoilt, for tests of their readers."""

from dataclasses import dataclass

from thornlatch.core.tests.scripted import ScriptedTarget

CHUNKED = b"Transfer-Encoding: chunked\r\n"
# Header lines that should tell the length of the body. LENGTH stands for it.
LENGTH_LINES = {
    "words": b"Content-Length: other",
    "nothing": b"Content-Length:",
    "white space": b"Content-Length: \t ",
    "list": b"Content-Length: LENGTH, LENGTH",
    "list of two lengths": b"Content-Length: LENGTH, 1",
    "list with an end": b"Content-Length: LENGTH,",
    "two numbers": b"Content-Length: LENGTH LENGTH",
    "semicolon": b"Content-Length: LENGTH;",
    "parameter": b"Content-Length: LENGTH;x=y",
    "quotes": b'Content-Length: "LENGTH"',
    "unit": b"Content-Length: LENGTH bytes",
    "negative": b"Content-Length: -LENGTH",
    "minus": b"Content-Length: -",
    "sign": b"Content-Length: +LENGTH",
    "underscore": b"Content-Length: 0_LENGTH",
    "fraction": b"Content-Length: LENGTH.0",
    "hexadecimal": b"Content-Length: 0xLENGTH",
    "letter for a digit": b"Content-Length: LENGTHO",
    "letter before the digits": b"Content-Length: lLENGTH",
    "null": b"Content-Length: null",
    "Arabic digits": "Content-Length: ٣".encode(),
    "full-width digits": "Content-Length: ３".encode(),
    "superscript": b"Content-Length: \xb2",
    "odd byte": b"Content-Length: LENGTH\xff",
    "no-break space": b"Content-Length: LENGTH\xa0",
    "more digits than int reads": b"Content-Length: " + b"9" * 4400,
    "more digits than int reads, beside chunks": (
        b"Content-Length: " + b"9" * 4400 + b"\r\nTransfer-Encoding: chunked"
    ),
    "folded words": b"Content-Length:\r\n other",
    "folded numbers": b"Content-Length: LENGTH\r\n LENGTH",
    "lower case": b"content-length: other",
    "two lines": b"Content-Length: LENGTH\r\nContent-Length: other",
    "two lines, the first one spoilt": (
        b"Content-Length: other\r\nContent-Length: LENGTH"
    ),
    "two lengths": b"Content-Length: LENGTH\r\nContent-Length: 1LENGTH",
    "words beside chunks": b"Content-Length: other\r\nTransfer-Encoding: chunked",
    "nothing beside chunks": b"Content-Length:\r\nTransfer-Encoding: chunked",
    "negative beside chunks": b"Content-Length: -1\r\nTransfer-Encoding: chunked",
    "sign behind chunks": b"Transfer-Encoding: chunked\r\nContent-Length: +LENGTH",
    "odd byte in the coding": b"Transfer-Encoding: chunked\xa0",
    "odd coding": b"Transfer-Encoding: chuncked",
}


@dataclass(frozen=True)
class SpoiltHead:
    """How the head of an answer is spoilt.

    Parameters
    ----------
    before, after : bytes
        Lines before and after the others.
    """

    before: bytes = b""
    after: bytes = b""

    def build(self, body, *, status=b"200 OK", fields=b"", sent_bytes=None):
        """Return an answer.

        Parameters
        ----------
        body : bytes
        status : bytes
            With its reason.
        fields : bytes
            Sound lines of the head.
        sent_bytes : int or None
            Bytes of the body after which the answer breaks off; None for all.

        Returns
        -------
        bytes
        """
        head = self.before + fields + self.after
        sent = body[:sent_bytes]
        if b"Transfer-Encoding: chunked" in head:
            sent = b"%x\r\n" % len(body) + sent
            sent += b"\r\n0\r\n\r\n" if sent_bytes is None else b""
        head = head.replace(b"LENGTH", b"%d" % len(body))
        return b"HTTP/1.1 " + status + b"\r\n" + head + b"\r\n" + sent


SOUND_HEAD = SpoiltHead(after=b"Content-Length: LENGTH\r\n")
SPOILT_LENGTHS = {
    name: SpoiltHead(after=line + b"\r\n") for name, line in LENGTH_LINES.items()
}
FAULTS = {"length": SPOILT_LENGTHS}


def check_heads(read, body, heads, **how):
    """Check that a reader takes no answer with a spoilt head for one.

    Parameters
    ----------
    read : callable
        Takes the address of a server; returns whether it took the answer for one.
    body : bytes
    heads : dict
        Of `SpoiltHead` by name.
    **how
        Of `SpoiltHead.build`.
    """
    server = ScriptedTarget()

    def is_taken(head):
        answer = head.build(body, **how)
        server.build_answer = lambda _: answer
        return read(server.address)

    try:
        taken = [name for name, head in heads.items() if is_taken(head)]
        assert taken == [], f"{len(taken)} of {len(heads)}"
        assert is_taken(SOUND_HEAD)
    finally:
        server.close()
