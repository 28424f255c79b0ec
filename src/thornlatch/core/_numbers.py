"""Numbers in headers and names."""

MAX_DIGITS = 15  # int() rejects over 4300


def parse_number(text: str, *, max_digits: int = MAX_DIGITS) -> int | None:
    """Return a non-negative decimal number; None if the text is anything else.

    Parameters
    ----------
    text : str
        Digits of other scripts and signs aren't accepted, unlike by `int`.
    max_digits : int
        Leading zeros count.

    Returns
    -------
    int or None
    """
    is_number = text.isascii() and text.isdigit() and len(text) <= max_digits
    return int(text) if is_number else None
