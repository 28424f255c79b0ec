"""Checks of allowances, owners, pins, leaving targets, configuration and keys."""

from dataclasses import dataclass, field

from thornlatch.timeline import _names as names
from thornlatch.timeline._events import LoggedEvent
from thornlatch.timeline._promises import Check, Promise

SETTLE_S = 5.0
ALLOWANCE_SETTLE_S = 15.0
CLOCK_SKEW_S = 0.1


@dataclass
class _Bucket:
    rate: float
    burst: float
    level: float = 0.0
    at: float = float("-inf")
    changes: list[tuple[float, float, float]] = field(default_factory=list)


class AllowanceCheck(Check):
    """Fills a bucket with each organisation's spending, drained at its rate.

    It overflows exactly if some window holds more than rate times window plus burst.
    While a change comes into force at the hosts, the larger allowance counts.
    """

    promise = Promise.ALLOWANCE
    names = (names.TOKENS_SPENT, names.TOKENS_RETURNED, names.ALLOWANCE_IN_FORCE)

    def __init__(self) -> None:
        super().__init__()
        self.buckets: dict[str, _Bucket] = {}

    def observe(self, event: LoggedEvent) -> None:
        """Apply a change of allowance or a spending."""
        if event.event == names.ALLOWANCE_IN_FORCE:
            self._change(event)
        elif event.organisation in self.buckets:
            self._spend(event, self.buckets[event.organisation])

    def _change(self, event: LoggedEvent) -> None:
        rate = event.get_number("rate")
        burst = event.get_number("burst")
        bucket = self.buckets.get(event.organisation)
        if bucket is None:
            self.buckets[event.organisation] = _Bucket(rate, burst)
        elif (rate, burst) != (bucket.rate, bucket.burst):
            until = event.wall + ALLOWANCE_SETTLE_S
            bucket.changes.append((until, bucket.rate, bucket.burst))
            bucket.rate, bucket.burst = rate, burst

    def _spend(self, event: LoggedEvent, bucket: _Bucket) -> None:
        bucket.changes = [one for one in bucket.changes if one[0] > event.wall]
        rate = max([bucket.rate, *(one[1] for one in bucket.changes)])
        burst = max([bucket.burst, *(one[2] for one in bucket.changes)])
        drained = rate * max(event.wall - bucket.at, 0.0)
        tokens = event.get_number("tokens")
        if event.event == names.TOKENS_RETURNED:
            tokens = -tokens
        bucket.at = max(bucket.at, event.wall)
        bucket.level = max(max(bucket.level - drained, 0.0) + tokens, 0.0)
        limit = burst + rate * CLOCK_SKEW_S
        if bucket.level > limit * (1 + 1e-9):
            excess = bucket.level - limit
            self.report(
                event.organisation,
                f"{excess:g} tokens over rate {rate:g}/s and burst {burst:g}"
                f" with request {event.request or '(none)'}",
                event,
            )
            bucket.level = limit


class OwnerCheck(Check):
    """Finds two owners of one epoch and orders of an owner that was replaced."""

    promise = Promise.ONE_OWNER
    names = (
        names.OWNERSHIP_BEGAN,
        names.INVENTORY_BEGUN,
        names.LOAD_ORDERED,
        names.EVICT_ORDERED,
    )

    def __init__(self) -> None:
        super().__init__()
        self.owners: dict[tuple[str, int], LoggedEvent] = {}
        self.newest: dict[str, LoggedEvent] = {}

    def observe(self, event: LoggedEvent) -> None:
        """Compare the epoch of an ownership or an order with those before."""
        if not event.key or event.epoch < 0:
            return
        first = self.owners.setdefault((event.key, event.epoch), event)
        if first.host != event.host:
            message = f"epoch {event.epoch} has owners {first.host} and {event.host}"
            self.report(event.key, message, first, event)
        newest = self.newest.get(event.key)
        if newest is not None and event.epoch < newest.epoch:
            message = f"{event.host} acted at epoch {event.epoch} after {newest.epoch}"
            self.report(event.key, message, newest, event)
        else:
            self.newest[event.key] = event


class PinCheck(Check):
    """Finds evictions of an adapter version that is granted."""

    promise = Promise.PINNED
    names = (
        names.GRANTED,
        names.RELEASED,
        names.EVICT_ORDERED,
        names.ADAPTER_UNLOADED,
    )

    def __init__(self) -> None:
        super().__init__()
        self.grants: dict[tuple[str, str], dict[str, LoggedEvent]] = {}

    def observe(self, event: LoggedEvent) -> None:
        """Follow grants and judge evictions."""
        if event.event == names.ADAPTER_UNLOADED:
            for request in event.detail.get("used") or ():
                message = f"its adapter version was evicted from {event.target}"
                self.report(str(request), message, event)
            return
        place = (event.target, str(event.detail.get("adapter_version", "")))
        grants = self.grants.setdefault(place, {})
        if event.event == names.GRANTED:
            grants[event.request] = event
        elif event.event == names.RELEASED:
            grants.pop(event.request, None)
        else:
            for request, granted in grants.items():
                message = f"{place[1]} was evicted from {place[0]} while granted"
                self.report(request, message, granted, event)


class LeavingCheck(Check):
    """Finds work sent to a target that is leaving."""

    promise = Promise.LEAVING_TARGET
    names = (names.TARGET_LEAVING, names.TARGET_RETURNED, names.REQUEST_SENT)

    def __init__(self) -> None:
        super().__init__()
        self.leaving: dict[str, LoggedEvent] = {}

    def observe(self, event: LoggedEvent) -> None:
        """Follow targets that leave and judge what is sent."""
        if event.event == names.TARGET_LEAVING:
            self.leaving.setdefault(event.target, event)
        elif event.event == names.TARGET_RETURNED:
            self.leaving.pop(event.target, None)
        elif event.target in self.leaving:
            left = self.leaving[event.target]
            late = event.wall - left.wall
            if late > SETTLE_S:
                message = f"was sent to {event.target} {late:.1f} s after it left"
                self.report(event.request, message, left, event)


class RevertCheck(Check):
    """Finds hosts whose configuration went back to a lower offset."""

    promise = Promise.NEVER_REVERTS
    names = (names.CONFIGURATION_IN_FORCE,)

    def __init__(self) -> None:
        super().__init__()
        self.newest: dict[str, LoggedEvent] = {}

    def observe(self, event: LoggedEvent) -> None:
        """Compare the offset with the host's last one."""
        last = self.newest.get(event.host)
        if last is not None and event.offset < last.offset:
            message = f"went from offset {last.offset} to {event.offset}"
            self.report(event.host, message, last, event)
        else:
            self.newest[event.host] = event


class WithdrawnKeyCheck(Check):
    """Finds work done for a key after its withdrawal."""

    promise = Promise.WITHDRAWN_KEY
    names = (names.KEY_WITHDRAWN, names.REQUEST_SENT, names.TOKENS_PASSED)

    def __init__(self) -> None:
        super().__init__()
        self.withdrawn: dict[str, LoggedEvent] = {}

    def observe(self, event: LoggedEvent) -> None:
        """Note withdrawals and judge work."""
        if event.event == names.KEY_WITHDRAWN:
            self.withdrawn.setdefault(str(event.detail.get("digest", "")), event)
            return
        withdrawn = self.withdrawn.get(str(event.detail.get("key_digest", "")))
        if withdrawn is not None and event.wall - withdrawn.wall > SETTLE_S:
            late = event.wall - withdrawn.wall
            message = f"{event.event} {late:.1f} s after its key was withdrawn"
            self.report(event.request, message, withdrawn, event)
