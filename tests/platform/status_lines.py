"""Status lines that begin no answer, and those that do, for tests of their readers."""

# From a server in trouble, or one that doesn't speak HTTP/1.
BAD_LINES = {
    "000": b"HTTP/1.1 000 Trouble",
    "099": b"HTTP/1.1 099 Trouble",
    "600": b"HTTP/1.1 600 Trouble",
    "999": b"HTTP/1.1 999 Trouble",
    "0200": b"HTTP/1.1 0200 OK",
    "2000": b"HTTP/1.1 2000 OK",
    "20": b"HTTP/1.1 20 OK",
    "+200": b"HTTP/1.1 +200 OK",
    "-200": b"HTTP/1.1 -200 OK",
    "2_00": b"HTTP/1.1 2_00 OK",
    "200x": b"HTTP/1.1 200x OK",
    "200.0": b"HTTP/1.1 200.0 OK",
    "arabic digits": "HTTP/1.1 ٢٠٠ OK".encode(),
    "no status": b"HTTP/1.1",
    "reason alone": b"HTTP/1.1 OK",
    "two spaces": b"HTTP/1.1  200 OK",
    "space before": b" HTTP/1.1 200 OK",
    "no space": b"HTTP/1.1200 OK",
    "no space before the reason": b"HTTP/1.1 200OK",
    "tabs": b"HTTP/1.1\t200\tOK",
    "no-break space": b"HTTP/1.1\xa0200 OK",
    "carriage return": b"HTTP/1.1 200 OK\rX: y",
    "NUL": b"HTTP/1.1 200 O\0K",
    "lower case": b"http/1.1 200 OK",
    "HTTP/0.9": b"HTTP/0.9 200 OK",
    "HTTP/1": b"HTTP/1 200 OK",
    "HTTP/1.": b"HTTP/1. 200 OK",
    "HTTP/1.10": b"HTTP/1.10 200 OK",
    "HTTP/1.x": b"HTTP/1.x 200 OK",
    "HTTP/2": b"HTTP/2 200",
    "HTTP/2.0": b"HTTP/2.0 200 OK",
    "ICY": b"ICY 200 OK",
    "blank": b"",
    "body without a head": b"other text",
    "after interim answers": (
        b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n"
        b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 000 Trouble"
    ),
    "600 after an interim answer": (
        b"HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 600 Trouble"
    ),
    "interim 0100": b"HTTP/1.1 0100 Continue\r\n\r\nHTTP/1.1 200 OK",
    "interim 1_03": b"HTTP/1.1 1_03 Early Hints\r\n\r\nHTTP/1.1 200 OK",
    "interim 099": b"HTTP/1.1 099 Early Hints\r\n\r\nHTTP/1.1 200 OK",
    "interim of HTTP/1.10": b"HTTP/1.10 100 Continue\r\n\r\nHTTP/1.1 200 OK",
}
GOOD_LINES = {
    "reason": (b"HTTP/1.1 200 OK", 200),
    "other reason": (b"HTTP/1.1 200 O K  tout va bien \xe9\t!", 200),
    "empty reason": (b"HTTP/1.1 200 ", 200),
    "no reason": (b"HTTP/1.1 200", 200),
    "HTTP/1.0": (b"HTTP/1.0 200 OK", 200),
    "HTTP/1.9": (b"HTTP/1.9 200 OK", 200),
    "599": (b"HTTP/1.1 599 Trouble", 599),
    "interim": (b"HTTP/1.1 199\r\n\r\nHTTP/1.1 100 \r\n\r\nHTTP/1.1 201 OK", 201),
}
