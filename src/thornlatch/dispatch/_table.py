"""Outstanding grants of a pool and the adapter versions that they pin."""

from collections.abc import Callable, Collection
from dataclasses import dataclass

from thornlatch.dispatch._messages import Granted
from thornlatch.dispatch._queue import RequestKey
from thornlatch.placement import AdapterVersion


@dataclass
class GrantRecord:
    """Outstanding grant, as the owner knows it.

    Parameters
    ----------
    grant : str
    host : str
    target : str
    version : AdapterVersion
    organisation : str
    tokens : float
        Tokens charged for the first use; 0 for an adopted grant.
    message : Granted or None
        Message that was sent; None for a grant adopted from a former owner.
    sent_at : float
        Time of the last sending of `message`, seconds.
    use : int
        Number of uses that the host has reported.
    is_idle : bool
        Whether the host has reported the grant as kept and unused.
    is_confirmed : bool
        Whether the host is known to have received the grant.
    recalled_at : float or None
        Time of the last recall, seconds.
    fingerprint : str
        Digest of the request that uses the grant; empty if there is none.
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
    """Adapter version that must not be evicted from a target.

    Parameters
    ----------
    target : str
    version : AdapterVersion
    """

    target: str
    version: AdapterVersion


class GrantTable:
    """Outstanding grants by id and by request, and pins.

    A version is pinned on a target while it has grants there, and as an orphan pin
    while a use without a known end may go on.
    """

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
        """Remove a grant and return its record, or None if it isn't outstanding."""
        record = self.grants.pop(grant, None)
        if record is None:
            return None
        self.confirm(record)
        self._remove_request(record)
        pin = Pin(record.target, record.version)
        self.pins[pin] -= 1
        if not self.pins[pin]:
            del self.pins[pin]
        return record

    def confirm(self, record: GrantRecord) -> None:
        """Record that the host has received the grant."""
        record.is_confirmed = True
        self.unconfirmed.pop(record.grant, None)

    def note_kept(self, record: GrantRecord) -> None:
        """Record that the host keeps the grant unused."""
        record.is_idle = True
        self.confirm(record)
        self._remove_request(record)

    def get_by_request(self, key: RequestKey) -> GrantRecord | None:
        """Return the grant made for `key`, or None once it is kept or returned."""
        grant = self.by_request.get(key)
        return self.grants[grant] if grant is not None else None

    def add_orphan_pin(self, pin: Pin, until: float) -> None:
        """Pin a version until a time, seconds, or longer if it is pinned already."""
        self.orphan_pins[pin] = max(until, self.orphan_pins.get(pin, until))

    def extend_orphan_pins(self, until: float) -> None:
        """Extend all orphan pins to a time, seconds, unless they last longer."""
        for pin in self.orphan_pins:
            self.add_orphan_pin(pin, until)

    def drop_orphan_pins(
        self, target: str, before: float, in_use: Collection[AdapterVersion]
    ) -> None:
        """Drop the orphan pins of versions that a target no longer uses.

        Parameters
        ----------
        target : str
        before : float
            Only pins that end before this time are dropped, seconds.
        in_use : collection of AdapterVersion
        """
        for pin in [pin for pin in self.orphan_pins if pin.target == target]:
            if self.orphan_pins[pin] < before and pin.version not in in_use:
                del self.orphan_pins[pin]

    def expire_orphan_pins(
        self, now: float, expires_by_time: Callable[[str], bool]
    ) -> None:
        """Drop the orphan pins that have expired.

        Parameters
        ----------
        now : float
            Seconds.
        expires_by_time : callable
            Returns whether the orphan pins of a target end by time.
        """
        for pin in [pin for pin, until in self.orphan_pins.items() if now >= until]:
            if expires_by_time(pin.target):
                del self.orphan_pins[pin]

    def is_pinned(self, target: str, version: AdapterVersion) -> bool:
        """Return whether `version` may be in use on `target`."""
        pin = Pin(target, version)
        return pin in self.pins or pin in self.orphan_pins

    def _remove_request(self, record: GrantRecord) -> None:
        if record.message is None:
            return
        key = RequestKey(record.message.request, record.message.attempt)
        if self.by_request.get(key) == record.grant:
            del self.by_request[key]
