"""Allocation of one key's allowance by its owner: inventories, grants and recalls."""

from collections.abc import Iterable

from thornlatch.admission._division import Grant, Plan, Recall, plan_division
from thornlatch.admission._holding import Holding
from thornlatch.admission._host_estimates import HostEstimate
from thornlatch.admission._messages import (
    DemandAnswer,
    DemandReport,
    ShareInventory,
    ShareInventoryRequest,
    ShareMove,
    ShareMoveAccepted,
    ShareRecall,
)
from thornlatch.admission._settings import AdmissionSettings
from thornlatch.admission._shares import EMPTY_SHARE, Allowance, Share, make_full_share
from thornlatch.admission._transfers import Inbox, Outbox, RoundId
from thornlatch.core import Action, Emit, Event, Send

MIN_DIVISION_INTERVAL_S = 0.003


class ShareAllocator:
    """Divides one key's allowance while this host owns the key.

    The pool holds only what was returned in the present round or found free by a
    complete inventory. A grant leaves the pool before it is sent, so that no token is
    in two places.

    Parameters
    ----------
    key : str
        Lease key.
    epoch : int
        Epoch of the ownership.
    settings : AdmissionSettings
    allowance : Allowance
    now : float
        Seconds.
    """

    def __init__(
        self,
        key: str,
        epoch: int,
        settings: AdmissionSettings,
        allowance: Allowance,
        *,
        now: float,
    ) -> None:
        self.key = key
        self.settings = settings
        self.round_id = RoundId(epoch, 0)
        self.pool = Holding(allowance, settings.drift_margin, now=now)
        self.outbox = Outbox(key, settings.retry_s)
        self.inbox = Inbox()
        self.estimates: dict[str, HostEstimate] = {}
        self.holders: set[str] = set()
        self.requested_at: dict[str, float] = {}
        self.inventories: dict[str, ShareInventory] = {}
        self.pool_share_at_start = EMPTY_SHARE
        self.is_complete = False
        self.is_retired = False
        self.divided_at = float("-inf")
        self.is_division_due = False

    @property
    def allowance(self) -> Allowance:
        """Allowance of the whole fleet, by this host's configuration."""
        return self.pool.allowance

    def set_allowance(self, allowance: Allowance, *, now: float) -> None:
        """Apply a changed allowance; a change of slots goes to the pool."""
        added = Share(slots=allowance.slots - self.allowance.slots)
        self.pool.set_allowance(allowance, now=now)
        self.pool.set_share(self.pool.share + added, now=now)
        self.pool_share_at_start += added

    def retire(self, *, now: float) -> int:
        """Stop allocating for good and return the pool's level in microtokens."""
        if self.is_retired:
            return 0
        self.is_retired = True
        self.pool.bucket.refresh(now=now)
        return self.pool.bucket.level

    def is_current(self, message: object) -> bool:
        """Return whether a message belongs to the present round."""
        return self.round_id.matches(message)

    # Inventories

    def run(self, possible_holders: Iterable[str], *, now: float) -> list[Action]:
        """Start an inventory round, resend messages and divide, as far as it is due.

        Called only while this host may act as the owner.

        Parameters
        ----------
        possible_holders : iterable of str
            Ids of the hosts that may hold shares.
        now : float
            Seconds.

        Returns
        -------
        list of Action
        """
        holders = dict.fromkeys(possible_holders)
        self.holders = set(holders)
        actions: list[Action] = []
        if not self.requested_at or not self.requested_at.keys() <= holders.keys():
            actions += self.start_round(holders, now=now)
        actions += self.request_missing_inventories(now=now)
        actions += self.outbox.resend(now=now)
        age_s = now - self.divided_at
        if self.is_division_due or age_s >= self.settings.division_interval_s:
            actions += self.divide(now=now)
        return actions

    def start_round(self, holders: Iterable[str], *, now: float) -> list[Action]:
        """Start a round that requests an inventory of every possible holder.

        The share of a host that left becomes free only by a round started afterwards,
        whose id invalidates messages that the host may still send.
        """
        self.round_id = RoundId(self.round_id.epoch, self.round_id.round_number + 1)
        self.outbox.clear()
        self.inbox.clear()
        self.inventories.clear()
        self.is_complete = False
        self.pool_share_at_start = self.pool.share
        self.requested_at = dict.fromkeys(holders, float("-inf"))
        for host in self.estimates.keys() - self.requested_at.keys():
            del self.estimates[host]
        for estimate in self.estimates.values():
            estimate.recall_number = 0
            estimate.recalled_at = float("-inf")
        event = Event(
            "admission.inventory_begun",
            key=self.key,
            epoch=self.round_id.epoch,
            detail={
                "round": self.round_id.round_number,
                "hosts": len(self.requested_at),
            },
        )
        return [Emit(event)]

    def request_missing_inventories(self, *, now: float) -> list[Action]:
        """Send inventory requests to hosts that have not answered within `retry_s`."""
        actions: list[Action] = []
        for host, sent_at in self.requested_at.items():
            if host in self.inventories or now - sent_at < self.settings.retry_s:
                continue
            self.requested_at[host] = now
            actions.append(Send(host, self.make_inventory_request()))
        return actions

    def make_inventory_request(self) -> ShareInventoryRequest:
        """Return the inventory request of the present round."""
        round_id = self.round_id
        return ShareInventoryRequest(self.key, round_id.epoch, round_id.round_number)

    def handle_inventory(
        self, answer: ShareInventory, *, sender: str, now: float
    ) -> list[Action]:
        """Record a holder's inventory; complete the round if it is the last one."""
        if not self.is_current(answer) or sender in self.inventories:
            return []
        if sender not in self.requested_at:
            return []
        estimate = self.estimates.setdefault(sender, HostEstimate(sender))
        estimate.share = answer.part
        estimate.level = answer.level
        estimate.level_at = now
        self.inventories[sender] = answer
        if self.is_complete or not self.has_all_inventories():
            return []
        return self.complete_round(now=now)

    def has_all_inventories(self) -> bool:
        """Return whether every possible holder has answered in this round."""
        return self.requested_at.keys() <= self.inventories.keys()

    def complete_round(self, *, now: float) -> list[Action]:
        """Add to the pool what no possible holder holds."""
        held = self.pool_share_at_start
        for answer in self.inventories.values():
            held += answer.part
        free = make_full_share(self.allowance) - held
        free = Share(max(0, free.rate), max(0, free.depth), free.slots)
        level = sum(answer.pool_level for answer in self.inventories.values())
        self.pool.add(free, level, now=now)
        self.is_complete = True
        event = Event(
            "admission.inventory_completed",
            key=self.key,
            epoch=self.round_id.epoch,
            detail={
                "round": self.round_id.round_number,
                "free_rate": free.rate,
                "free_depth": free.depth,
                "free_slots": free.slots,
            },
        )
        return [Emit(event), *self.divide(now=now)]

    # Moves

    def accept_move(self, move: ShareMove, *, sender: str, now: float) -> list[Action]:
        """Add a returned share to the pool."""
        if not self.is_current(move):
            return []
        accepted = ShareMoveAccepted(
            self.key, move.epoch, move.round_number, move.lane, move.number
        )
        if not self.inbox.is_new(move, sender):
            return [Send(sender, accepted)]
        self.pool.add(move.part, move.level, now=now)
        estimate = self.estimates.get(sender)
        if estimate is not None:
            estimate.note_returned(move.part, move.level)
        return [Send(sender, accepted), *self.divide_soon(now=now)]

    def handle_accepted(
        self, message: ShareMoveAccepted, *, sender: str, now: float
    ) -> list[Action]:
        """Handle the acknowledgement of a grant."""
        if self.is_current(message):
            self.outbox.accept(message.lane, sender, message.number)
        return []

    # Division

    def handle_report(
        self, report: DemandReport, *, sender: str, now: float
    ) -> list[Action]:
        """Apply a host's demand report; divide at once if a request waits."""
        if not self.is_current(report):
            return self.request_inventory(sender, now=now)
        estimate = self.estimates.get(sender)
        if estimate is None or not estimate.apply_report(report, now=now):
            return []
        if not report.need and report.slots <= report.part.slots:
            return []
        return self.divide_soon(now=now)

    def divide_soon(self, *, now: float) -> list[Action]:
        """Divide now, or at the next tick if the last division was very recent."""
        if now - self.divided_at >= MIN_DIVISION_INTERVAL_S:
            return self.divide(now=now)
        self.is_division_due = True
        return []

    def request_inventory(self, host: str, *, now: float) -> list[Action]:
        """Request an inventory of a host that has not joined the present round.

        A host that left must not join: its stale share would be counted again.
        """
        sent_at = self.requested_at.get(host, float("-inf"))
        if host not in self.holders or now - sent_at < self.settings.retry_s:
            return []
        self.requested_at[host] = now
        return [Send(host, self.make_inventory_request())]

    def divide(self, *, now: float) -> list[Action]:
        """Grant and recall shares by need and demand."""
        self.divided_at = now
        self.is_division_due = False
        self.pool.bucket.refresh(now=now)
        hosts = [
            estimate
            for host, estimate in self.estimates.items()
            if host in self.inventories and not estimate.is_closing
        ]
        plan = plan_division(self.pool, hosts, self.settings, now=now)
        return self.execute(plan, now=now)

    def execute(self, plan: Plan, *, now: float) -> list[Action]:
        """Return the messages that carry out a plan."""
        actions: list[Action] = []
        for recall in plan.recalls:
            actions += self.recall(recall, now=now)
        granted = set()
        for grant in plan.grants:
            if self.outbox.is_free("grant", grant.host):
                actions += self.grant(grant, now=now)
                granted.add(grant.host)
        for estimate in self.estimates.values():
            if estimate.host not in granted:
                actions += self.answer_report(estimate, plan, now=now)
        return actions

    def grant(self, grant: Grant, *, now: float) -> list[Action]:
        """Take a share out of the pool and send it."""
        given, level = self.pool.take(grant.share, grant.level, now=now)
        if given.is_empty:
            return []
        self.estimates[grant.host].note_granted(given, level)
        return [
            self.outbox.send(self.round_id, "grant", grant.host, given, level, now=now)
        ]

    def recall(self, recall: Recall, *, now: float) -> list[Action]:
        """Ask a host to return a share."""
        estimate = self.estimates[recall.host]
        estimate.note_recalled(recall, now=now)
        message = ShareRecall(
            self.key,
            self.round_id.epoch,
            self.round_id.round_number,
            estimate.recall_number,
            recall.share,
            recall.level,
            recall.spare_level,
        )
        return [Send(recall.host, message)]

    def answer_report(
        self, estimate: HostEstimate, plan: Plan, *, now: float
    ) -> list[Action]:
        """Answer a report of a waiting host that receives no share yet.

        The answer shows the host that its owner is live. During an inventory round the
        owner can't tell whether the rate is exhausted; it doesn't answer, and counts as
        silent.
        """
        if not self.is_complete:
            return []
        is_answered = estimate.answered_number >= estimate.report_number
        if is_answered or not estimate.compute_need(now=now):
            return []
        estimate.answered_number = estimate.report_number
        message = DemandAnswer(
            self.key,
            self.round_id.epoch,
            self.round_id.round_number,
            estimate.report_number,
            estimate.host in plan.exhausted,
        )
        return [Send(estimate.host, message)]
