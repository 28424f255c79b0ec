"""Malformed heads of answers, of a server in trouble, for tests of their readers."""

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
    "two lines, the first one malformed": (
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

# Lines that are no field (RFC 9110, sections 5.1 and 5.5).
ODD_LINES = {
    "JSON": b'{"error":"x"}',
    "log line": b"[2026-12-07T10:00:01]ERROR",
    "parentheses": b"Content(Length): 100",
    "comma": b"X,Y: z",
    "at sign": b"a@b:c",
    "quotes": b'"X": y',
    "semicolon": b"X;Y: z",
    "slash": b"text/html: x",
    "backslash": b"X\\Y: z",
    "equals sign": b"X=1: y",
    "question mark": b"X?: y",
    "angle brackets": b"<p>: x",
    "square brackets": b"X[0]: y",
    "braces": b"X{0}: y",
    "no colon": b"other text",
    "no name": b": x",
    "colon": b":",
    "space before the colon": b"X : y",
    "tab before the colon": b"X\t: y",
    "space in the name": b"X Y: z",
    "line of a mailbox": b"From x@y Mon Dec  7 10:00:01 2026",
    "status line": b"HTTP/1.1 500 Failed",
    "status line with a colon": b"HTTP/1.1 500 Failed: x",
    "odd byte in the name": b"X\xff: y",
    "letter beyond ASCII": "Größe: 5".encode(),
    "NUL in the name": b"X\0: y",
    "control character in the name": b"X\x01: y",
    "DEL in the name": b"X\x7f: y",
    "carriage return in the name": b"X\rY: z",
    "NUL": b"X: y\0z",
    "control character": b"X: y\x01z",
    "escape sequence": b"X: \x1b[31my",
    "vertical tab": b"X: y\x0bz",
    "DEL": b"X: y\x7f",
    "carriage return": b"X: y\rz",
    "two carriage returns": b"X: y\r",
    "control character in a folded line": b"X: y\r\n z\x01",
    "NUL alone": b"\0",
}
# At the start of a head alone: elsewhere it continues a field.
FIRST_LINES = {"space before the name": b" X: y", "white space": b" \t"}


@dataclass(frozen=True)
class HeadTemplate:
    """Lines of a head around others, which may make it malformed.

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


SOUND_HEAD = HeadTemplate(after=b"Content-Length: LENGTH\r\n")
MALFORMED_LENGTHS = {
    name: HeadTemplate(after=line + b"\r\n") for name, line in LENGTH_LINES.items()
}
FRAMINGS = {
    "length": b"Content-Length: LENGTH\r\n",
    "chunked": CHUNKED,
    "close": b"",
}
MALFORMED_LINES_ANYWHERE = {
    f"{name}, {place}, {framing}": head
    for name, line in ODD_LINES.items()
    for framing, field in FRAMINGS.items()
    for place, head in {
        "first": HeadTemplate(before=line + b"\r\n", after=field),
        "within": HeadTemplate(after=line + b"\r\n" + field),
        "last": HeadTemplate(after=field + line + b"\r\n"),
    }.items()
}
FORMS = 3 * len(FRAMINGS)  # of each line
# Each line in one of its forms, which take turns.
MALFORMED_LINES = dict(
    list(MALFORMED_LINES_ANYWHERE.items())[FORMS * number + number % FORMS]
    for number in range(len(ODD_LINES))
)
MALFORMED_LINES |= {
    name: HeadTemplate(before=line + b"\r\n", after=FRAMINGS["length"])
    for name, line in FIRST_LINES.items()
}
FAULTS = {"length": MALFORMED_LENGTHS, "line": MALFORMED_LINES}


def check_heads(read, body, heads, **how):
    """Check that a reader takes no answer with a malformed head for one.

    Parameters
    ----------
    read : callable
        Takes the address of a server; returns whether it took the answer for one.
    body : bytes
    heads : dict
        Of `HeadTemplate` by name.
    **how
        Of `HeadTemplate.build`.
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
