"""The clock used for leases, freshness checks and rate limits."""

import time


def read_clock() -> float:
    """Return a steady time in seconds that includes suspension of the host.

    `time.monotonic` stops while the host is suspended, so a lease or a confirmation
    would appear younger here than it does to the other hosts.

    Returns
    -------
    float
        Seconds since an arbitrary origin that all processes of a host share.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
