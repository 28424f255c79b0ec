"""Client side of dispatch: pending grant requests and held grants of one host."""

from dataclasses import dataclass, field, replace

from thornlatch.core import Action, Emit, Event, Send
from thornlatch.dispatch._duplicates import ProvenRequests
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
    """Permission to send one request to a target.

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
        Incarnation of the target's process at the time of the grant; empty if unknown,
        as for later uses of a kept grant.
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
        Caller's id of the request, used in the `Resolve` that answers it.
    spec : RequestSpec
    arrived_at : float
        Seconds.
    deadline : float
        Seconds.
    sent_to : str
        Owner that the request was last sent to; empty if it was sent to none.
    sent_epoch : int
        Epoch of that owner; -1 if there was none.
    sent_at : float
        Time of the last sending, seconds.
    returned_grants : set of str
        Ids of grants returned unused; a resent message with one of them is not used.
    """

    ticket: str
    spec: RequestSpec
    arrived_at: float
    deadline: float
    sent_to: str = ""
    sent_epoch: int = -1
    sent_at: float = 0.0
    returned_grants: set[str] = field(default_factory=set)

    @property
    def key(self) -> RequestKey:
        """Identity of the attempt."""
        return RequestKey(self.spec.request, self.spec.attempt)


@dataclass
class ClientGrant:
    """A grant that this host holds.

    Parameters
    ----------
    granted : Granted
    active_use : Grant or None
        Current use; None while the grant is kept unused.
    finished_uses : int
    state_changed_at : float
        Start of the current use or end of the last one, seconds.
    is_recalled : bool
        Whether the owner has recalled the grant.
    unacked_report : GrantReleased or None
        Report of the last use, until the owner acknowledges it.
    sent_at : float
        Time at which `unacked_report` was last sent, seconds.
    fingerprint : str
        Digest of the request that uses the grant or used it last.
    """

    granted: Granted
    active_use: Grant | None
    finished_uses: int
    state_changed_at: float
    is_recalled: bool = False
    unacked_report: GrantReleased | None = None
    sent_at: float = 0.0
    fingerprint: str = ""


@dataclass
class UnacknowledgedMessage:
    """A release or cancellation to resend until the owner acknowledges it.

    Parameters
    ----------
    message : GrantReleased or GrantCancelled
    sent_at : float
        Time of the last sending, seconds.
    expires_at : float
        Time from which the message is no longer resent, seconds.
    """

    message: GrantReleased | GrantCancelled
    sent_at: float
    expires_at: float


class PoolClient:
    """Pending requests and held grants of this host for one pool.

    Parameters
    ----------
    settings : DispatchSettings
    host : str
        Host id.
    pool : str
        Name of the pool.
    """

    def __init__(self, settings: DispatchSettings, host: str, pool: str) -> None:
        self.settings = settings
        self.host = host
        self.pool = pool
        self.epoch = -1
        self.former_epoch = -1
        self.pending: dict[RequestKey, PendingRequest] = {}
        self.grants: dict[str, ClientGrant] = {}
        self.releases: dict[str, UnacknowledgedMessage] = {}
        self.cancellations: dict[RequestKey, UnacknowledgedMessage] = {}
        self.orphan_pins: dict[Pin, float] = {}
        self.unanswered_since: float | None = None
        self.proven_requests = ProvenRequests()
        self.owner = ""
        self.is_closed = False
        self.is_pool_removed = False

    # Owner.

    @property
    def is_busy(self) -> bool:
        """Whether a request, a grant or a message to the owner is outstanding."""
        return bool(self.pending or self.grants or self.releases or self.cancellations)

    def reset_owner_silence(self) -> None:
        """Clear the time since which the owner hasn't answered."""
        self.unanswered_since = None

    def is_owner_silent(self, now: float) -> bool:
        """Return whether there is no owner or it doesn't answer.

        It counts as silent once the first unanswered message is older than
        `owner_silence_s`.
        """
        if not self.owner:
            return True
        since = self.unanswered_since
        return since is not None and now - since > self.settings.owner_silence_s

    def send_to_owner(self, message: object, now: float) -> list[Action]:
        """Send a message that the owner answers."""
        if self.unanswered_since is None:
            self.unanswered_since = now
        return [Send(self.owner, message)] if self.owner else []

    def note_inventory(self, *, has_pool: bool, now: float) -> None:
        """Record whether the inventory has the pool.

        Releases in a removed pool are resent for `owner_wait_s` only, as it may have no
        owner any more. They don't expire if the pool returns before, since its owner
        may not have noticed the removal.
        """
        if self.is_pool_removed == (not has_pool):
            return
        self.is_pool_removed = not has_pool
        for entry in self.releases.values():
            entry.expires_at = self._get_release_expiry(now)

    def _get_release_expiry(self, now: float) -> float:
        if not self.is_pool_removed:
            return float("inf")
        return now + self.settings.owner_wait_s

    def advance_epoch(self, epoch: int) -> None:
        """Advance to a newer owner's epoch; former owners' grants are then ignored."""
        if epoch > self.epoch:
            self.former_epoch = self.epoch
            self.epoch = epoch

    # Requests.

    def request_grant(
        self, pending: PendingRequest, epoch: int, now: float
    ) -> list[Action]:
        """Send or resend the request for a grant to the owner."""
        pending.sent_to = self.owner
        pending.sent_epoch = epoch
        pending.sent_at = now
        deadline_in_s = max(0.0, pending.deadline - now)
        remaining = replace(pending.spec, deadline_in_s=deadline_in_s)
        return self.send_to_owner(GrantRequest(self.host, remaining), now)

    def cancel_pending(self, key: RequestKey, now: float) -> list[Action]:
        """Remove a pending request and cancel it at the owner."""
        pending = self.pending.pop(key, None)
        if pending is None or not pending.sent_to:
            return []
        message = GrantCancelled(self.host, self.pool, key.request, key.attempt)
        expires_at = max(pending.deadline, now) + self.settings.owner_wait_s
        self.cancellations[key] = UnacknowledgedMessage(message, now, expires_at)
        return self.send_to_owner(message, now)

    # Grants.

    def begin_use(
        self, held: ClientGrant, pending: PendingRequest, now: float
    ) -> Grant:
        """Assign a held grant to a pending request and return the grant to use."""
        spec, granted = pending.spec, held.granted
        held.active_use = Grant(
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
            "" if held.finished_uses else granted.incarnation,
        )
        held.state_changed_at = now
        held.fingerprint = spec.fingerprint
        return held.active_use

    def find_kept(self, spec: RequestSpec, leaving: set[str]) -> ClientGrant | None:
        """Return a kept grant for the request's adapter version, or None."""
        for held in self.grants.values():
            granted = held.granted
            if held.active_use is not None or held.is_recalled:
                continue
            if (granted.adapter, granted.version) != (spec.adapter, spec.version):
                continue
            if granted.target not in spec.excluded and granted.target not in leaving:
                return held
        return None

    def may_use_kept(self, spec: RequestSpec, now: float) -> bool:
        """Return whether a request may run under a kept grant.

        The owner doesn't see such a use, so it can't confine duplicates of a request
        that may crash targets to a single target. While the owner is silent, a kept
        grant is the only one that a request can get.
        """
        is_proven = not spec.fingerprint or spec.fingerprint in self.proven_requests
        return is_proven or self.is_owner_silent(now)

    def list_suitable_requests(self, held: ClientGrant) -> list[PendingRequest]:
        """Return the pending requests that can run under a grant."""
        granted = held.granted
        return [
            pending
            for pending in self.pending.values()
            if pending.spec.adapter == granted.adapter
            and pending.spec.version == granted.version
            and granted.target not in pending.spec.excluded
        ]

    def choose_pending(self, held: ClientGrant, now: float) -> PendingRequest | None:
        """Return the most urgent pending request for a grant, or None.

        Interactive requests come first, then the earliest deadline.
        """
        return min(
            (
                p
                for p in self.list_suitable_requests(held)
                if self.may_use_kept(p.spec, now)
            ),
            key=lambda p: (p.spec.priority is not Priority.INTERACTIVE, p.deadline),
            default=None,
        )

    def end_use(
        self,
        held: ClientGrant,
        *,
        outcome: Outcome,
        tokens: float,
        first_token_s: float | None,
        now: float,
    ) -> GrantReleased:
        """End the current use and return its report, which says the grant is kept."""
        assert held.active_use is not None
        self.proven_requests.note_ended(held.fingerprint, outcome)
        held.finished_uses += 1
        report = GrantReleased(
            self.host,
            self.pool,
            held.granted.grant,
            held.finished_uses,
            True,
            outcome,
            held.active_use.organisation,
            tokens,
            first_token_s,
            now - held.state_changed_at,
        )
        held.active_use = None
        held.state_changed_at = now
        return report

    def may_keep(self, held: ClientGrant, leaving: set[str], now: float) -> bool:
        """Return whether a grant may be kept for the next request after a use."""
        if self._must_return(held, leaving):
            return False
        return held.granted.linger_s > 0 or self.is_owner_silent(now)

    def keep_grant(
        self, held: ClientGrant, report: GrantReleased, now: float
    ) -> list[Action]:
        """Keep a grant for the next request and report its last use to the owner."""
        held.unacked_report = report
        held.sent_at = now
        return self.send_to_owner(report, now)

    def return_grant(
        self, held: ClientGrant, report: GrantReleased | None, now: float
    ) -> list[Action]:
        """Return a grant to the owner.

        Unless the outcome of the last use shows that the target is done with it, the
        adapter version stays pinned for `orphan_pin_s`.
        """
        granted = held.granted
        last = (
            report
            or held.unacked_report
            or self._make_unused_report(granted, held.finished_uses)
        )
        message = replace(last, is_kept=False)
        self.grants.pop(granted.grant, None)
        if last.outcome not in SETTLED_OUTCOMES:
            version = AdapterVersion(granted.adapter, granted.version)
            until = now + self.settings.orphan_pin_s
            self.orphan_pins[Pin(granted.target, version)] = until
        return self._send_release(message, now)

    def return_unused(self, granted: Granted, now: float) -> list[Action]:
        """Return a grant that no pending request can use."""
        if granted.grant in self.releases:
            return []
        return self._send_release(self._make_unused_report(granted, 0), now)

    def note_acknowledged(self, noted: GrantReleaseNoted) -> None:
        """Stop resending a report that the owner has acknowledged."""
        if not noted.is_kept:
            self.releases.pop(noted.grant, None)
            return
        held = self.grants.get(noted.grant)
        if held is None or held.unacked_report is None:
            return
        if held.unacked_report.use == noted.use:
            held.unacked_report = None

    def confirm_held(self, granted: Granted) -> list[Action]:
        """Confirm to the owner that this host already holds a resent grant."""
        return [Send(self.owner, GrantHeld(self.host, self.pool, granted.grant))]

    def list_held_grants(self) -> tuple[HeldGrant, ...]:
        """Return the held grants in the form of the inventory message."""
        return tuple(
            HeldGrant(
                held.granted.grant,
                held.granted.target,
                held.granted.adapter,
                held.granted.version,
                held.finished_uses,
                held.active_use is None,
                held.fingerprint if held.active_use is not None else "",
            )
            for held in self.grants.values()
        )

    def list_orphan_pins(self, now: float) -> tuple[PinInDoubt, ...]:
        """Return the adapter versions that unanswered requests may still use.

        Pins that have expired are dropped.
        """
        self.orphan_pins = {
            pin: until for pin, until in self.orphan_pins.items() if now < until
        }
        return tuple(
            PinInDoubt(
                pin.target, pin.version.adapter, pin.version.version, until - now
            )
            for pin, until in self.orphan_pins.items()
        )

    # Time.

    def resend(self, now: float) -> list[Action]:
        """Resend reports, releases and cancellations that aren't acknowledged."""
        actions: list[Action] = []
        for key in [k for k, m in self.cancellations.items() if now >= m.expires_at]:
            del self.cancellations[key]
        for grant in [g for g, m in self.releases.items() if now >= m.expires_at]:
            del self.releases[grant]
        for entry in [*self.releases.values(), *self.cancellations.values()]:
            if now - entry.sent_at >= self.settings.resend_s:
                entry.sent_at = now
                actions += self.send_to_owner(entry.message, now)
        for held in self.grants.values():
            is_due = now - held.sent_at >= self.settings.resend_s
            if held.unacked_report is not None and is_due:
                held.sent_at = now
                actions += self.send_to_owner(held.unacked_report, now)
        return actions

    def return_expired(self, leaving: set[str], now: float) -> list[Action]:
        """Return the kept grants that may no longer be kept."""
        actions: list[Action] = []
        for held in list(self.grants.values()):
            if held.active_use is None and self._is_expired(held, leaving, now):
                actions += self.return_grant(held, None, now)
        return actions

    def _is_expired(self, held: ClientGrant, leaving: set[str], now: float) -> bool:
        if self._must_return(held, leaving):
            return True
        is_acknowledged = held.unacked_report is None
        kept_s = now - held.state_changed_at
        if not is_acknowledged or self.is_owner_silent(now):
            return False
        return kept_s >= held.granted.linger_s

    def _must_return(self, held: ClientGrant, leaving: set[str]) -> bool:
        is_target_leaving = held.granted.target in leaving
        is_ended = self.is_closed or self.is_pool_removed
        return held.is_recalled or is_ended or is_target_leaving

    def _send_release(self, message: GrantReleased, now: float) -> list[Action]:
        entry = UnacknowledgedMessage(message, now, self._get_release_expiry(now))
        self.releases[message.grant] = entry
        event = Event(
            "dispatch.grant_returned",
            organisation=message.organisation,
            key=get_pool_key(self.pool),
            detail={"grant": message.grant, "outcome": message.outcome.value},
        )
        return [*self.send_to_owner(message, now), Emit(event)]

    def _make_unused_report(self, granted: Granted, use: int) -> GrantReleased:
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
