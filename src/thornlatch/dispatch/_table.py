"""The owner's record of grants, and the pins that follow from them."""

from collections.abc import Callable, Collection
from dataclasses import dataclass

from thornlatch.dispatch._messages import Granted
from thornlatch.dispatch._queue import RequestKey
from thornlatch.placement import AdapterVersion


@dataclass
class GrantRecord:
    """One outstanding grant.

    Parameters
    ----------
    grant : str
    host : str
    target : str
    version : AdapterVersion
    organisation : str
    tokens : float
        Tokens charged for the use under way.
    message : Granted or None
        What was sent; None for grants adopted from an earlier owner.
    sent_at : float
        Time of the last sending of `message`, seconds.
    use : int
        Uses reported.
    is_idle : bool
        Whether the host reported the grant as kept and unused.
    is_confirmed : bool
        Whether the host is known to have got the grant.
    recalled_at : float or None
        Time of the last recall, seconds.
    fingerprint : str
        Digest of the request that runs under it; empty if there is none.
    """

    grant: str
    host: str
    target: str
    version: AdapterVersion
    organisation: str
    tokens: float
    message: Granted | None
    sent_at: float
    use: int = 0
    is_idle: bool = False
    is_confirmed: bool = False
    recalled_at: float | None = None
    fingerprint: str = ""


@dataclass(frozen=True, slots=True)
class Pin:
    """Adapter version in use on a target.

    Parameters
    ----------
    target : str
    version : AdapterVersion
    """

    target: str
    version: AdapterVersion


class GrantTable:
    """Outstanding grants by id and request, and counted pins."""

    def __init__(self) -> None:
        self.grants: dict[str, GrantRecord] = {}
        self.by_request: dict[RequestKey, str] = {}
        self.unconfirmed: dict[str, GrantRecord] = {}
        self.pins: dict[Pin, int] = {}
        self.orphan_pins: dict[Pin, float] = {}

    def add(self, record: GrantRecord) -> None:
        """Add an outstanding grant."""
        self.grants[record.grant] = record
        pin = Pin(record.target, record.version)
        self.pins[pin] = self.pins.get(pin, 0) + 1
        if record.message is not None:
            key = RequestKey(record.message.request, record.message.attempt)
            self.by_request[key] = record.grant
            self.unconfirmed[record.grant] = record

    def remove(self, grant: str) -> GrantRecord | None:
        """Remove a grant; return its record if it was outstanding."""
        record = self.grants.pop(grant, None)
        if record is None:
            return None
        self.confirm(record)
        self._forget_request(record)
        pin = Pin(record.target, record.version)
        self.pins[pin] -= 1
        if not self.pins[pin]:
            del self.pins[pin]
        return record

    def confirm(self, record: GrantRecord) -> None:
        """Note that the host has the grant."""
        record.is_confirmed = True
        self.unconfirmed.pop(record.grant, None)

    def keep(self, record: GrantRecord) -> None:
        """Note that the host keeps the grant unused."""
        record.is_idle = True
        self.confirm(record)
        self._forget_request(record)

    def get_by_request(self, key: RequestKey) -> GrantRecord | None:
        """Return the grant that was given for `key` and not reported as used."""
        grant = self.by_request.get(key)
        return self.grants[grant] if grant is not None else None

    def add_orphan_pin(self, pin: Pin, until: float) -> None:
        """Keep a pin whose use may go on without a grant."""
        self.orphan_pins[pin] = max(until, self.orphan_pins.get(pin, until))

    def extend_orphan_pins(self, until: float) -> None:
        """Keep all orphan pins until a time at least, seconds."""
        for pin in self.orphan_pins:
            self.add_orphan_pin(pin, until)

    def drop_orphan_pins(
        self, target: str, before: float, in_use: Collection[AdapterVersion]
    ) -> None:
        """Drop the orphan pins of versions that a target doesn't use any more.

        Parameters
        ----------
        target : str
        before : float
            Only pins that were due to end before this time, seconds.
        in_use : collection of AdapterVersion
        """
        for pin in [pin for pin in self.orphan_pins if pin.target == target]:
            if self.orphan_pins[pin] < before and pin.version not in in_use:
                del self.orphan_pins[pin]

    def expire_orphan_pins(
        self, now: float, expires_by_time: Callable[[str], bool]
    ) -> None:
        """Drop orphan pins whose time is over.

        Parameters
        ----------
        now : float
        expires_by_time : callable
            Whether the pins of a target end by time.
        """
        for pin in [pin for pin, until in self.orphan_pins.items() if now >= until]:
            if expires_by_time(pin.target):
                del self.orphan_pins[pin]

    def is_pinned(self, target: str, version: AdapterVersion) -> bool:
        """Return whether `version` may be in use on `target`."""
        pin = Pin(target, version)
        return pin in self.pins or pin in self.orphan_pins

    def _forget_request(self, record: GrantRecord) -> None:
        if record.message is None:
            return
        key = RequestKey(record.message.request, record.message.attempt)
        if self.by_request.get(key) == record.grant:
            del self.by_request[key]
