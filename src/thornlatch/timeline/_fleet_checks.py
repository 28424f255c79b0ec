"""Checks of allowances, owners, evictions, leaving targets, configuration and keys."""

from dataclasses import dataclass, field

from thornlatch.timeline import _names as names
from thornlatch.timeline._events import LoggedEvent
from thornlatch.timeline._promises import Check, Promise

# Times that a change may take until it applies at all hosts.
PROPAGATION_LIMIT_S = 5.0
ALLOWANCE_PROPAGATION_LIMIT_S = 15.0
# Difference between the clocks of hosts that the allowance check tolerates.
CLOCK_SKEW_S = 0.1


@dataclass
class _Bucket:
    rate: float
    burst: float
    level: float = 0.0
    updated_at: float = float("-inf")
    former_limits: list[tuple[float, float, float]] = field(default_factory=list)


class AllowanceCheck(Check):
    """Tracks the spending of each organisation in a leaky bucket.

    The bucket drains at the organisation's rate and overflows exactly if the spending
    within some time window exceeds rate times window plus burst. While a change of the
    allowance propagates to the hosts, the larger allowance applies.
    """

    promise = Promise.ALLOWANCE
    event_names = (names.TOKENS_SPENT, names.TOKENS_RETURNED, names.ALLOWANCE_IN_FORCE)

    def __init__(self) -> None:
        super().__init__()
        self.buckets: dict[str, _Bucket] = {}

    def observe(self, event: LoggedEvent) -> None:
        """Apply a change of an allowance, or tokens spent or returned."""
        if event.event == names.ALLOWANCE_IN_FORCE:
            self._apply_change(event)
        elif event.organisation in self.buckets:
            self._apply_spending(event, self.buckets[event.organisation])

    def _apply_change(self, event: LoggedEvent) -> None:
        rate = event.get_number("rate")
        burst = event.get_number("burst")
        bucket = self.buckets.get(event.organisation)
        if bucket is None:
            self.buckets[event.organisation] = _Bucket(rate, burst)
        elif (rate, burst) != (bucket.rate, bucket.burst):
            until = event.wall + ALLOWANCE_PROPAGATION_LIMIT_S
            bucket.former_limits.append((until, bucket.rate, bucket.burst))
            bucket.rate, bucket.burst = rate, burst

    def _apply_spending(self, event: LoggedEvent, bucket: _Bucket) -> None:
        bucket.former_limits = [
            limits for limits in bucket.former_limits if limits[0] > event.wall
        ]
        rate = max([bucket.rate, *(limits[1] for limits in bucket.former_limits)])
        burst = max([bucket.burst, *(limits[2] for limits in bucket.former_limits)])
        drained = rate * max(event.wall - bucket.updated_at, 0.0)
        tokens = event.get_number("tokens")
        if event.event == names.TOKENS_RETURNED:
            tokens = -tokens
        bucket.updated_at = max(bucket.updated_at, event.wall)
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
    """Finds epochs with two owners, and actions of an owner that was replaced."""

    promise = Promise.ONE_OWNER
    event_names = (
        names.OWNERSHIP_BEGAN,
        names.INVENTORY_BEGUN,
        names.LOAD_ORDERED,
        names.EVICT_ORDERED,
    )

    def __init__(self) -> None:
        super().__init__()
        self.owners: dict[tuple[str, int], LoggedEvent] = {}
        self.latest: dict[str, LoggedEvent] = {}

    def observe(self, event: LoggedEvent) -> None:
        """Compare the epoch of an ownership or an order with earlier ones."""
        if not event.key or event.epoch < 0:
            return
        owner = self.owners.setdefault((event.key, event.epoch), event)
        if owner.host != event.host:
            message = f"epoch {event.epoch} has owners {owner.host} and {event.host}"
            self.report(event.key, message, owner, event)
        latest = self.latest.get(event.key)
        if latest is not None and event.epoch < latest.epoch:
            message = (
                f"{event.host} acted in epoch {event.epoch} after epoch {latest.epoch}"
            )
            self.report(event.key, message, latest, event)
        else:
            self.latest[event.key] = event


class PinCheck(Check):
    """Finds evictions of an adapter version for which a grant exists."""

    promise = Promise.PINNED
    event_names = (
        names.GRANTED,
        names.RELEASED,
        names.EVICT_ORDERED,
        names.ADAPTER_UNLOADED,
    )

    def __init__(self) -> None:
        super().__init__()
        self.grants: dict[tuple[str, str], dict[str, LoggedEvent]] = {}

    def observe(self, event: LoggedEvent) -> None:
        """Track grants and check evictions."""
        if event.event == names.ADAPTER_UNLOADED:
            for request in event.detail.get("used") or ():
                message = f"its adapter version was evicted from {event.target}"
                self.report(str(request), message, event)
            return
        location = (event.target, str(event.detail.get("adapter_version", "")))
        grants = self.grants.setdefault(location, {})
        if event.event == names.GRANTED:
            grants[event.request] = event
        elif event.event == names.RELEASED:
            grants.pop(event.request, None)
        else:
            for request, granted in grants.items():
                message = f"{location[1]} was evicted from {location[0]} while granted"
                self.report(request, message, granted, event)


class LeavingCheck(Check):
    """Finds requests sent to a target that is leaving."""

    promise = Promise.LEAVING_TARGET
    event_names = (names.TARGET_LEAVING, names.TARGET_RETURNED, names.REQUEST_SENT)

    def __init__(self) -> None:
        super().__init__()
        self.leaving: dict[str, LoggedEvent] = {}

    def observe(self, event: LoggedEvent) -> None:
        """Track leaving targets and check the requests sent."""
        if event.event == names.TARGET_LEAVING:
            self.leaving.setdefault(event.target, event)
        elif event.event == names.TARGET_RETURNED:
            self.leaving.pop(event.target, None)
        elif event.target in self.leaving:
            leaving = self.leaving[event.target]
            delay_s = event.wall - leaving.wall
            if delay_s > PROPAGATION_LIMIT_S:
                message = (
                    f"was sent to {event.target} {delay_s:.1f} s after the target began"
                    " to leave"
                )
                self.report(event.request, message, leaving, event)


class RevertCheck(Check):
    """Finds hosts whose configuration reverted to a lower offset."""

    promise = Promise.NEVER_REVERTS
    event_names = (names.CONFIGURATION_IN_FORCE,)

    def __init__(self) -> None:
        super().__init__()
        self.latest: dict[str, LoggedEvent] = {}

    def observe(self, event: LoggedEvent) -> None:
        """Compare the offset with the previous one of the host."""
        last = self.latest.get(event.host)
        if last is not None and event.offset < last.offset:
            message = (
                f"configuration reverted from offset {last.offset} to {event.offset}"
            )
            self.report(event.host, message, last, event)
        else:
            self.latest[event.host] = event


class WithdrawnKeyCheck(Check):
    """Finds requests sent or tokens passed on for a key after its withdrawal."""

    promise = Promise.WITHDRAWN_KEY
    event_names = (names.KEY_WITHDRAWN, names.REQUEST_SENT, names.TOKENS_PASSED)

    def __init__(self) -> None:
        super().__init__()
        self.withdrawn: dict[str, LoggedEvent] = {}

    def observe(self, event: LoggedEvent) -> None:
        """Record withdrawals and check requests and tokens."""
        if event.event == names.KEY_WITHDRAWN:
            self.withdrawn.setdefault(str(event.detail.get("digest", "")), event)
            return
        withdrawn = self.withdrawn.get(str(event.detail.get("key_digest", "")))
        if withdrawn is not None and event.wall - withdrawn.wall > PROPAGATION_LIMIT_S:
            delay_s = event.wall - withdrawn.wall
            message = f"{event.event} {delay_s:.1f} s after its key was withdrawn"
            self.report(event.request, message, withdrawn, event)
