"""The host's side: requests that wait for grants, and grants held."""

from dataclasses import dataclass, field, replace

from thornlatch.core import Action, Emit, Event, Send
from thornlatch.dispatch._copies import ProvenRequests
from thornlatch.dispatch._messages import (
    SETTLED_OUTCOMES,
    GrantCancelled,
    Granted,
    GrantHeld,
    GrantReleased,
    GrantReleaseNoted,
    GrantRequest,
    HeldGrant,
    Outcome,
    PinInDoubt,
    Priority,
    RequestSpec,
    get_pool_key,
)
from thornlatch.dispatch._queue import RequestKey
from thornlatch.dispatch._settings import DispatchSettings
from thornlatch.dispatch._table import Pin
from thornlatch.placement import AdapterVersion


@dataclass(frozen=True)
class Grant:
    """Right to send one request to a target.

    Parameters
    ----------
    grant : str
        Grant id.
    request : str
    attempt : int
    organisation : str
    pool : str
    target : str
    address : str
        ``ip:port``.
    adapter : str
    version : str
    epoch : int
    incarnation : str
        Life of the target's process at the grant; empty if unknown, as for later uses
        of a kept grant.
    """

    grant: str
    request: str
    attempt: int
    organisation: str
    pool: str
    target: str
    address: str
    adapter: str
    version: str
    epoch: int
    incarnation: str = ""


@dataclass
class PendingRequest:
    """A local request that waits for a grant.

    Parameters
    ----------
    ticket : str
    spec : RequestSpec
    arrived_at : float
    deadline : float
    sent_to : str
        Owner that was asked; empty if none was.
    sent_epoch : int
        Epoch of that owner.
    sent_at : float
    returned : set of str
        Grants given back unused, repeats of which must not be used.
    """

    ticket: str
    spec: RequestSpec
    arrived_at: float
    deadline: float
    sent_to: str = ""
    sent_epoch: int = -1
    sent_at: float = 0.0
    returned: set[str] = field(default_factory=set)

    @property
    def key(self) -> RequestKey:
        """Identity of the attempt."""
        return RequestKey(self.spec.request, self.spec.attempt)


@dataclass
class HeldRight:
    """A grant that this host holds.

    Parameters
    ----------
    granted : Granted
    user : Grant or None
        Use under way; None while the grant is kept unused.
    use : int
        Finished uses.
    begun_at : float
        Beginning of the use under way, or end of the last one; seconds.
    is_recalled : bool
        Whether the owner asked for the grant.
    report : GrantReleased or None
        Report of the last use that the owner hasn't acknowledged.
    sent_at : float
        Time at which `report` was sent last, seconds.
    fingerprint : str
        Digest of the request that uses the grant or used it last.
    """

    granted: Granted
    user: Grant | None
    use: int
    begun_at: float
    is_recalled: bool = False
    report: GrantReleased | None = None
    sent_at: float = 0.0
    fingerprint: str = ""


@dataclass
class Unacknowledged:
    """A release or cancellation to repeat until the owner acknowledges it.

    Parameters
    ----------
    message : GrantReleased or GrantCancelled
    sent_at : float
    expires_at : float
        Time after which repeating is pointless, seconds.
    """

    message: GrantReleased | GrantCancelled
    sent_at: float
    expires_at: float


class HostPool:
    """Requests and grants of this host for one pool.

    Parameters
    ----------
    settings : DispatchSettings
    host : str
    pool : str
    """

    def __init__(self, settings: DispatchSettings, host: str, pool: str) -> None:
        self.settings = settings
        self.host = host
        self.pool = pool
        self.epoch = -1
        self.former_epoch = -1
        self.pending: dict[RequestKey, PendingRequest] = {}
        self.rights: dict[str, HeldRight] = {}
        self.releases: dict[str, Unacknowledged] = {}
        self.cancellations: dict[RequestKey, Unacknowledged] = {}
        self.unsettled: dict[Pin, float] = {}
        self.unanswered_since: float | None = None
        self.proven = ProvenRequests()
        self.owner = ""
        self.is_closed = False

    # Owner.

    @property
    def is_busy(self) -> bool:
        """Whether a request, a right or a message to the owner is open."""
        return bool(self.pending or self.rights or self.releases or self.cancellations)

    def note_heard(self) -> None:
        """Note that the owner answers."""
        self.unanswered_since = None

    def is_owner_silent(self, now: float) -> bool:
        """Return whether the owner has left messages unanswered for long."""
        if not self.owner:
            return True
        since = self.unanswered_since
        return since is not None and now - since > self.settings.owner_silence_s

    def send(self, message: object, now: float) -> list[Action]:
        """Send a message that the owner answers."""
        if self.unanswered_since is None:
            self.unanswered_since = now
        return [Send(self.owner, message)] if self.owner else []

    def note_epoch(self, epoch: int) -> None:
        """Note an owner's epoch; older owners' grants are refused from now on."""
        if epoch > self.epoch:
            self.former_epoch = self.epoch
            self.epoch = epoch

    # Requests.

    def ask(self, pending: PendingRequest, epoch: int, now: float) -> list[Action]:
        """Ask the owner for a grant, for the first time or again."""
        pending.sent_to = self.owner
        pending.sent_epoch = epoch
        pending.sent_at = now
        deadline_in_s = max(0.0, pending.deadline - now)
        remaining = replace(pending.spec, deadline_in_s=deadline_in_s)
        return self.send(GrantRequest(self.host, remaining), now)

    def drop_pending(self, key: RequestKey, now: float) -> list[Action]:
        """Stop waiting for a grant and withdraw the request at the owner."""
        pending = self.pending.pop(key, None)
        if pending is None or not pending.sent_to:
            return []
        message = GrantCancelled(self.host, self.pool, key.request, key.attempt)
        expires_at = max(pending.deadline, now) + self.settings.owner_wait_s
        self.cancellations[key] = Unacknowledged(message, now, expires_at)
        return self.send(message, now)

    # Grants.

    def use(self, right: HeldRight, pending: PendingRequest, now: float) -> Grant:
        """Begin a use of a grant by a local request."""
        spec, granted = pending.spec, right.granted
        right.user = Grant(
            granted.grant,
            spec.request,
            spec.attempt,
            spec.organisation,
            granted.pool,
            granted.target,
            granted.address,
            granted.adapter,
            granted.version,
            granted.epoch,
            "" if right.use else granted.incarnation,
        )
        right.begun_at = now
        right.fingerprint = spec.fingerprint
        return right.user

    def find_idle(self, spec: RequestSpec, leaving: set[str]) -> HeldRight | None:
        """Return a kept grant that suits a request."""
        for right in self.rights.values():
            granted = right.granted
            if right.user is not None or right.is_recalled:
                continue
            if (granted.adapter, granted.version) != (spec.adapter, spec.version):
                continue
            if granted.target not in spec.excluded and granted.target not in leaving:
                return right
        return None

    def may_use_kept(self, spec: RequestSpec, now: float) -> bool:
        """Return whether a request may run under a kept grant.

        The owner doesn't see such a use, so it can't keep copies of a request that may
        crash its target on one. A request of a silent owner's pool has no other way.
        """
        is_proven = not spec.fingerprint or spec.fingerprint in self.proven
        return is_proven or self.is_owner_silent(now)

    def list_pending(self, right: HeldRight) -> list[PendingRequest]:
        """Return the local requests that a grant suits."""
        granted = right.granted
        return [
            pending
            for pending in self.pending.values()
            if pending.spec.adapter == granted.adapter
            and pending.spec.version == granted.version
            and granted.target not in pending.spec.excluded
        ]

    def find_pending(self, right: HeldRight, now: float) -> PendingRequest | None:
        """Return the local request that should use a grant that became free."""
        return min(
            (p for p in self.list_pending(right) if self.may_use_kept(p.spec, now)),
            key=lambda p: (p.spec.priority is not Priority.INTERACTIVE, p.deadline),
            default=None,
        )

    def end_use(
        self,
        right: HeldRight,
        *,
        outcome: Outcome,
        tokens: float,
        first_token_s: float | None,
        now: float,
    ) -> GrantReleased:
        """End the use under way and return its report, as for a kept grant."""
        assert right.user is not None
        self.proven.note_ended(right.fingerprint, outcome)
        right.use += 1
        report = GrantReleased(
            self.host,
            self.pool,
            right.granted.grant,
            right.use,
            True,
            outcome,
            right.user.organisation,
            tokens,
            first_token_s,
            now - right.begun_at,
        )
        right.user = None
        right.begun_at = now
        return report

    def may_keep(self, right: HeldRight, leaving: set[str], now: float) -> bool:
        """Return whether a grant may be kept after use."""
        if right.is_recalled or self.is_closed or right.granted.target in leaving:
            return False
        return right.granted.linger_s > 0 or self.is_owner_silent(now)

    def keep(self, right: HeldRight, report: GrantReleased, now: float) -> list[Action]:
        """Keep an unused grant and report its last use."""
        right.report = report
        right.sent_at = now
        return self.send(report, now)

    def give_back(
        self, right: HeldRight, report: GrantReleased | None, now: float
    ) -> list[Action]:
        """Give a grant back for good."""
        granted = right.granted
        last = report or right.report or self._make_empty_report(granted, right.use)
        message = replace(last, is_kept=False)
        self.rights.pop(granted.grant, None)
        if last.outcome not in SETTLED_OUTCOMES:
            version = AdapterVersion(granted.adapter, granted.version)
            until = now + self.settings.orphan_pin_s
            self.unsettled[Pin(granted.target, version)] = until
        return self._release(message, now)

    def give_back_unused(self, granted: Granted, now: float) -> list[Action]:
        """Give back a grant that no request waits for."""
        if granted.grant in self.releases:
            return []
        return self._release(self._make_empty_report(granted, 0), now)

    def note_release(self, noted: GrantReleaseNoted) -> None:
        """Stop repeating an acknowledged report."""
        if not noted.is_kept:
            self.releases.pop(noted.grant, None)
            return
        right = self.rights.get(noted.grant)
        if right is None or right.report is None:
            return
        if right.report.use == noted.use:
            right.report = None

    def answer_repeat(self, granted: Granted) -> list[Action]:
        """Tell the owner that a grant is held already."""
        return [Send(self.owner, GrantHeld(self.host, self.pool, granted.grant))]

    def list_held(self) -> tuple[HeldGrant, ...]:
        """Return all grants held."""
        return tuple(
            HeldGrant(
                right.granted.grant,
                right.granted.target,
                right.granted.adapter,
                right.granted.version,
                right.use,
                right.user is None,
                right.fingerprint if right.user is not None else "",
            )
            for right in self.rights.values()
        )

    def list_unsettled(self, now: float) -> tuple[PinInDoubt, ...]:
        """Return the adapter versions that unanswered requests may still use."""
        self.unsettled = {
            pin: until for pin, until in self.unsettled.items() if now < until
        }
        return tuple(
            PinInDoubt(
                pin.target, pin.version.adapter, pin.version.version, until - now
            )
            for pin, until in self.unsettled.items()
        )

    # Time.

    def repeat(self, now: float) -> list[Action]:
        """Repeat releases and cancellations that weren't acknowledged."""
        actions: list[Action] = []
        for key in [k for k, c in self.cancellations.items() if now >= c.expires_at]:
            del self.cancellations[key]
        for entry in [*self.releases.values(), *self.cancellations.values()]:
            if now - entry.sent_at >= self.settings.resend_s:
                entry.sent_at = now
                actions += self.send(entry.message, now)
        for right in self.rights.values():
            is_due = now - right.sent_at >= self.settings.resend_s
            if right.report is not None and is_due:
                right.sent_at = now
                actions += self.send(right.report, now)
        return actions

    def end_lingering(self, leaving: set[str], now: float) -> list[Action]:
        """Give back kept grants whose time is over."""
        actions: list[Action] = []
        for right in list(self.rights.values()):
            if right.user is None and self._is_over(right, leaving, now):
                actions += self.give_back(right, None, now)
        return actions

    def _is_over(self, right: HeldRight, leaving: set[str], now: float) -> bool:
        if right.is_recalled or self.is_closed or right.granted.target in leaving:
            return True
        is_reported = right.report is None
        lingered_s = now - right.begun_at
        if not is_reported or self.is_owner_silent(now):
            return False
        return lingered_s >= right.granted.linger_s

    def _release(self, message: GrantReleased, now: float) -> list[Action]:
        entry = Unacknowledged(message, now, float("inf"))
        self.releases[message.grant] = entry
        event = Event(
            "dispatch.grant_returned",
            organisation=message.organisation,
            key=get_pool_key(self.pool),
            detail={"grant": message.grant, "outcome": message.outcome.value},
        )
        return [*self.send(message, now), Emit(event)]

    def _make_empty_report(self, granted: Granted, use: int) -> GrantReleased:
        return GrantReleased(
            self.host,
            self.pool,
            granted.grant,
            use,
            False,
            Outcome.UNUSED,
            "",
            0.0,
            None,
            0.0,
        )
