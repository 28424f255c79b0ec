"""A host's share of one key: spending, returning and requesting."""

from dataclasses import dataclass, replace

from thornlatch.admission._demand import DemandEstimate
from thornlatch.admission._holding import Holding
from thornlatch.admission._messages import (
    DemandAnswer,
    DemandReport,
    Lane,
    PeerRequest,
    ShareInventory,
    ShareInventoryRequest,
    ShareMove,
    ShareMoveAccepted,
    ShareRecall,
)
from thornlatch.admission._settings import AdmissionSettings
from thornlatch.admission._shares import (
    MICROTOKENS,
    UNITS,
    Allowance,
    Share,
    compute_depth_units,
)
from thornlatch.admission._transfers import Inbox, Outbox, RoundId
from thornlatch.core import Action, Send

DEMAND_CHANGE_RATIO = 0.25
DEMAND_CHANGE_MIN_RATIO = 0.02
RESERVED_DEMAND_S = 0.1
MAX_RATE_PER_DEPTH = 1


@dataclass(frozen=True)
class Need:
    """Requests that wait for a share at this host.

    Parameters
    ----------
    level : int
        Cost of all waiting requests in microtokens.
    slots : int
        Slots that are waited for.
    since : float
        Seconds at which the oldest request began to wait.
    """

    level: int = 0
    slots: int = 0
    since: float = 0.0

    @property
    def is_waiting(self) -> bool:
        """Whether anything waits."""
        return bool(self.level or self.slots)


class LocalShare:
    """Holds this host's share of one key.

    The share changes only by moves that this host sends or accepts. It doesn't expire,
    so callers have to check that the host is confirmed before they spend from it.

    Parameters
    ----------
    key : str
        Lease key.
    host : str
        This host's id.
    settings : AdmissionSettings
    allowance : Allowance
    now : float
        Seconds.
    """

    def __init__(
        self,
        key: str,
        host: str,
        settings: AdmissionSettings,
        allowance: Allowance,
        *,
        now: float,
    ) -> None:
        self.key = key
        self.host = host
        self.settings = settings
        self.holding = Holding(allowance, settings.drift_margin, now=now)
        self.round_id = RoundId()
        self.outbox = Outbox(key, settings.retry_s)
        self.inbox = Inbox()
        self.inventory: ShareInventory | None = None
        self.recall_number = 0
        self.demand = DemandEstimate(settings.demand_time_s)
        self.need = Need()
        self.used_slots = 0
        self.owed_slots = 0
        self.report_number = 0
        self.reported_demand = 0
        self.reported_need = Need()
        self.reported_at = float("-inf")
        self.unanswered_since: float | None = None
        self.peers_requested_at = float("-inf")
        self.peer_index = 0
        self.exhausted_until = float("-inf")
        self.owner = ""
        self.is_closed = False

    @property
    def allowance(self) -> Allowance:
        """Allowance of the whole fleet, by this host's configuration."""
        return self.holding.allowance

    @property
    def free_slots(self) -> int:
        """Slots of the share that are not in use."""
        return max(0, self.holding.share.slots - self.used_slots)

    def is_current(self, message: object) -> bool:
        """Return whether a message belongs to the round that this host has joined."""
        return self.round_id.matches(message)

    def spend(self, amount: int, *, now: float) -> bool:
        """Take microtokens from the bucket; return whether it held enough."""
        return self.holding.bucket.spend(amount, now=now)

    def acquire_slot(self, *, now: float) -> bool:
        """Take one token and one slot; return whether both were available."""
        slots = min(self.holding.share.slots, self.allowance.slots) - self.owed_slots
        if self.used_slots >= slots or not self.spend(MICROTOKENS, now=now):
            return False
        self.used_slots += 1
        self.demand.record(MICROTOKENS, now=now)
        return True

    # Inventories

    def join_round(
        self,
        request: ShareInventoryRequest,
        *,
        pool_level: int,
        sender: str,
        now: float,
    ) -> list[Action]:
        """Join an inventory round and answer it; earlier rounds become invalid.

        Parameters
        ----------
        request : ShareInventoryRequest
        pool_level : int
            Microtokens handed over from the pool that this host kept as the owner.
        sender : str
        now : float
            Seconds.

        Returns
        -------
        list of Action
        """
        round_id = RoundId(request.epoch, request.round_number)
        if round_id.is_after(self.round_id):
            self.round_id = round_id
            self.owner = sender
            self.outbox.clear()
            self.inbox.clear()
            self.recall_number = 0
            self.owed_slots = 0
            self.holding.bucket.refresh(now=now)
            self.inventory = ShareInventory(
                self.key,
                round_id.epoch,
                round_id.round_number,
                self.holding.share,
                pool_level,
                self.holding.bucket.level,
            )
        if round_id != self.round_id or self.inventory is None:
            return []
        # No mark_answered: an owner can't grant during an inventory round, so it counts
        # as silent.
        return [Send(sender, self.inventory)]

    # Moves

    def accept_move(self, move: ShareMove, *, sender: str, now: float) -> list[Action]:
        """Add a share that the owner's pool or a peer sent."""
        if not self.is_current(move):
            return []
        if move.lane == "grant":
            self.mark_answered()
        if self.inbox.is_new(move, sender):
            self.holding.add(move.part, move.level, now=now)
        accepted = ShareMoveAccepted(
            self.key, move.epoch, move.round_number, move.lane, move.number
        )
        return [Send(sender, accepted), *self.return_all_if_closed(now=now)]

    def handle_accepted(
        self, message: ShareMoveAccepted, *, sender: str, now: float
    ) -> list[Action]:
        """Handle the acknowledgement of a move."""
        if self.is_current(message):
            self.outbox.accept(message.lane, sender, message.number)
        return self.return_all_if_closed(now=now)

    def handle_recall(
        self, recall: ShareRecall, *, sender: str, now: float
    ) -> list[Action]:
        """Return what the owner recalls, as far as it is not in use."""
        if not self.is_current(recall) or recall.number <= self.recall_number:
            return []
        self.mark_answered()
        if not self.outbox.is_free("return", sender):
            return []
        self.recall_number = recall.number
        spare = self.compute_spare_level(now=now) - recall.level
        level = recall.level + max(0, min(recall.spare_level, spare))
        depth = max(recall.part.depth, compute_depth_units(self.allowance, level))
        share = replace(recall.part, depth=depth if level else recall.part.depth)
        self.owed_slots = max(0, recall.part.slots - self.free_slots)
        return [self.send_share("return", sender, share, level, now=now)]

    def return_owed_slots(self, *, now: float) -> list[Action]:
        """Return recalled slots that were in use and have been released."""
        slots = min(self.owed_slots, self.free_slots)
        if not slots or not self.outbox.is_free("return", self.owner):
            return []
        self.owed_slots -= slots
        return [self.send_share("return", self.owner, Share(slots=slots), 0, now=now)]

    def send_share(
        self, lane: Lane, recipient: str, share: Share, level: int, *, now: float
    ) -> Action:
        """Take a share out of the holding and send it, except slots in use."""
        rate = max(share.rate, self.compute_excess_rate(share.depth))
        share = Share(rate, share.depth, min(share.slots, self.free_slots))
        given, given_level = self.holding.take(share, level, now=now)
        return self.outbox.send(
            self.round_id,
            lane,
            recipient,
            given,
            given_level,
            now=now,
        )

    def compute_excess_rate(self, depth: int) -> int:
        """Return the rate that would overflow once `depth` is given up."""
        kept = max(0, self.holding.share.depth - depth)
        return max(0, self.holding.share.rate - kept * MAX_RATE_PER_DEPTH)

    def close(self, *, now: float) -> list[Action]:
        """Return the whole share to the owner, now and whenever more arrives."""
        self.is_closed = True
        self.need = Need()
        self.reported_at = float("-inf")
        actions = self.report(self.owner, 1, now=now) if self.owner else []
        return actions + self.return_all_if_closed(now=now)

    def return_all_if_closed(self, *, now: float) -> list[Action]:
        """Return what a closed host still holds."""
        if not self.is_closed or not self.owner:
            return []
        if not self.outbox.is_free("return", self.owner):
            return []
        share = self.holding.share
        if Share(share.rate, share.depth, share.slots - self.used_slots).is_empty:
            return []
        level = self.holding.bucket.level
        return [self.send_share("return", self.owner, share, level, now=now)]

    # Peers

    def handle_peer_request(
        self, request: PeerRequest, *, sender: str, now: float
    ) -> list[Action]:
        """Send a peer what this host can spare."""
        if not self.is_current(request) or not self.outbox.is_free("peer", sender):
            return []
        share, level = self.compute_spare(request, now=now)
        if level <= 0 and not share.slots and share.rate < UNITS // 100:
            return []
        return [self.send_share("peer", sender, share, level, now=now)]

    def compute_spare(self, request: PeerRequest, *, now: float) -> tuple[Share, int]:
        """Return the share and level that this host can spare for a peer."""
        demand = self.demand.compute_rate(now=now)
        level = max(0, min(request.need, self.compute_spare_level(now=now)))
        whole_rate = self.allowance.rate * MICROTOKENS
        kept_rate = int(demand * UNITS / whole_rate) if whole_rate else 0
        rate = max(0, min(request.rate, self.holding.share.rate - kept_rate))
        depth = compute_depth_units(self.allowance, level)
        slots = max(0, request.slots if not self.need.slots else 0)
        return Share(rate, depth, slots), level

    def compute_spare_level(self, *, now: float) -> int:
        """Return this host's microtokens beyond its need and near-term demand."""
        bucket = self.holding.bucket
        bucket.refresh(now=now)
        kept = int(self.demand.compute_rate(now=now) * RESERVED_DEMAND_S)
        return bucket.level - self.need.level - kept

    def request_from_peers(self, peers: list[str], *, now: float) -> list[Action]:
        """Request shares of the next peers if the owner doesn't answer a need."""
        settings = self.settings
        if not peers or not self.is_owner_silent(now=now):
            return []
        if now - self.peers_requested_at < settings.peer_interval_s:
            return []
        self.peers_requested_at = now
        request = self.make_peer_request(now=now)
        count = min(settings.peer_count, len(peers))
        chosen = [peers[(self.peer_index + i) % len(peers)] for i in range(count)]
        self.peer_index += count
        return [Send(peer, request) for peer in chosen]

    def make_peer_request(self, *, now: float) -> PeerRequest:
        """Return a request for the rate, level and slots that this host lacks."""
        demand = self.demand.compute_rate(now=now)
        whole_rate = self.allowance.rate * MICROTOKENS
        demanded_rate = int(demand * UNITS / whole_rate) if whole_rate else 0
        return PeerRequest(
            self.key,
            self.round_id.epoch,
            self.round_id.round_number,
            max(0, min(UNITS, demanded_rate) - self.holding.share.rate),
            max(0, self.need.level + demand // 4 - self.holding.bucket.level),
            self.need.slots,
        )

    # Reports

    def mark_answered(self) -> None:
        """Record that the owner has answered."""
        self.unanswered_since = None

    def is_owner_silent(self, *, now: float) -> bool:
        """Return whether a report of a need is unanswered for `owner_silence_s`."""
        since = self.unanswered_since
        return since is not None and now - since >= self.settings.owner_silence_s

    def handle_answer(self, answer: DemandAnswer, *, now: float) -> None:
        """Record whether the owner reports the fleet's tokens as exhausted."""
        if not self.is_current(answer):
            return
        self.mark_answered()
        valid_s = self.settings.exhaustion_valid_s
        self.exhausted_until = now + valid_s if answer.is_exhausted else now

    def report(self, owner: str, members: int, *, now: float) -> list[Action]:
        """Report demand to the owner if it is due.

        Parameters
        ----------
        owner : str
            Host id.
        members : int
            Members of the fleet; hosts of large fleets report less often.
        now : float
            Seconds.

        Returns
        -------
        list of Action
        """
        self.owner = owner
        demand = 0
        if not self.is_closed:
            demand = self.demand.compute_rate(now=now)
        if not self.is_report_due(demand, members, now=now):
            return []
        self.report_number += 1
        self.reported_at = now
        self.reported_demand = demand
        self.reported_need = self.need
        if self.need.is_waiting and self.unanswered_since is None:
            self.unanswered_since = now
        return [Send(owner, self.make_report(demand, now=now))]

    def is_report_due(self, demand: int, members: int, *, now: float) -> bool:
        """Return whether a report to the owner is due."""
        settings = self.settings
        age_s = now - self.reported_at
        if self.need.is_waiting:
            spread_s = members / settings.reports_per_s / 10
            is_larger = (
                self.need.level > self.reported_need.level
                or self.need.slots > self.reported_need.slots
            )
            urgent_s = settings.urgent_interval_s if is_larger else settings.retry_s
            return age_s >= max(urgent_s, spread_s)
        if self.is_closed:
            return age_s >= settings.retry_s
        interval_s = max(settings.report_interval_s, members / settings.reports_per_s)
        return age_s >= interval_s and self.is_demand_changed(demand)

    def is_demand_changed(self, demand: int) -> bool:
        """Return whether demand differs enough from the last report."""
        if bool(demand) != bool(self.reported_demand):
            return True
        change = abs(demand - self.reported_demand)
        floor = DEMAND_CHANGE_MIN_RATIO * self.allowance.rate * MICROTOKENS
        return change > max(DEMAND_CHANGE_RATIO * self.reported_demand, floor)

    def make_report(self, demand: int, *, now: float) -> DemandReport:
        """Return the report of what this host holds and needs."""
        need = self.need
        self.holding.bucket.refresh(now=now)
        waited_s = max(0.0, now - need.since) if need.is_waiting else 0.0
        return DemandReport(
            self.key,
            self.round_id.epoch,
            self.round_id.round_number,
            self.report_number,
            demand,
            min(need.level, self.allowance.depth),
            self.used_slots + need.slots,
            int(waited_s * 1000),
            self.holding.share,
            self.holding.bucket.level,
            self.is_closed,
        )
