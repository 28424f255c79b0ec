"""Finding out whether a target has died."""

import time

from thornlatch.exceptions import TargetError
from thornlatch.targets import read_report

PROBE_TIMEOUT_S = 0.5
PROBE_ATTEMPTS = 5
PROBE_PAUSE_S = 0.05


def probe_death(address: str, *, incarnation: str) -> bool:
    """Return whether a target refuses connections or has started anew.

    A dying process may still take a connection that it never answers, so the target is
    asked until it answers or refuses.

    Parameters
    ----------
    address : str
        ``ip:port``.
    incarnation : str
        Last known life of the target's process; empty if unknown.

    Returns
    -------
    bool
    """
    for attempt in range(PROBE_ATTEMPTS):
        if attempt:
            time.sleep(PROBE_PAUSE_S)
        try:
            report = read_report(address, timeout_s=PROBE_TIMEOUT_S)
        except TargetError as error:
            if not error.is_sent:
                return True
            continue
        return bool(incarnation) and str(report.get("incarnation", "")) != incarnation
    return False
