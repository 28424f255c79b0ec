"""The clock that leases, freshness and rates are judged by."""

import time


def read_clock() -> float:
    """Return seconds that go on while the host is suspended.

    The steady clock stops during a suspension, so that a lease or a confirmation
    would seem younger than it is to the other hosts.

    Returns
    -------
    float
        Seconds since an arbitrary start, the same for all processes of a host.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
