"""Probes a target to find out whether its process has ended or restarted."""

import time

from thornlatch.exceptions import TargetError
from thornlatch.targets import read_report

PROBE_TIMEOUT_S = 0.5
PROBE_ATTEMPTS = 5
PROBE_PAUSE_S = 0.05


def probe_target_failure(address: str, *, incarnation: str) -> bool:
    """Return whether a target accepts no connection or has restarted.

    A process that is ending may still accept a connection that it never answers, so an
    unanswered probe is repeated, `PROBE_ATTEMPTS` times in all.

    Parameters
    ----------
    address : str
        ``ip:port``.
    incarnation : str
        Last known incarnation of the target's process; empty if unknown.

    Returns
    -------
    bool
        False also if every probe was accepted but none was answered.
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
