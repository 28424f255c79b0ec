"""Digests that hosts exchange several times a second, and the view built from them."""

from collections import Counter
from dataclasses import dataclass, field
from typing import Annotated

from msgspec import Meta

from thornlatch.core import register
from thornlatch.fleet._decay import DecayingSum, DecayingSums
from thornlatch.fleet._latest_messages import LatestMessages

# Shorter than the period of digests, so that totals over all peers lag little behind.
AGGREGATION_PERIOD_S = 0.02
LEAVING_LIMIT = 64  # incarnations of leaving targets in a digest; 2 KB
UNKNOWN_EPOCH = -1  # of a store whose answers have no number


@dataclass(frozen=True)
class ResidentAdapter:
    """An adapter that a target has loaded or is loading.

    Parameters
    ----------
    name : str
    version : int
    ready_in_s : float
        Seconds after the digest was sent until it can be used; 0 or less if it can
        be used already.
    is_queued : bool
        Whether its load hasn't begun.
    """

    name: str
    version: int
    ready_in_s: float = 0.0
    is_queued: bool = False


@dataclass(frozen=True)
class HeldTarget:
    """What a target's holder, the host that orders its adapters, reports of it.

    A former holder reports its last order too, for as long as a lease runs.

    Parameters
    ----------
    target : str
    started_ms : int
    fencing_token : int
        0 of a former holder, which reports no adapters.
    ordered_ago_s : float
        Seconds since the holder's last order to it.
    adapters : tuple of ResidentAdapter
    place_in_s : float
        Estimated seconds until another adapter's load can begin there.
    """

    target: str
    started_ms: int
    fencing_token: int
    ordered_ago_s: float
    adapters: tuple[ResidentAdapter, ...]
    place_in_s: float = 0.0


@dataclass(frozen=True)
class PartReport:
    """Suspected crashes by the part of the prompts that were running.

    Parameters
    ----------
    rounds : dict of str to dict of str to int
        By part, rounds by crash id. A crash belongs to a later round than another if
        its request was sent after the sender knew of the other.
    disproved : dict of str to tuple of str
        By part of an answer that was completed lately, the crash ids that were known
        then.
    running : dict of str to int
        Number of requests at targets, by suspected part.
    aborted : dict of str to int
        Number of runs aborted since an answer was completed, by suspected part.
    blocked : tuple of str
        Parts that the sender doesn't send to targets any more.
    """

    rounds: dict[str, dict[str, int]] = field(default_factory=dict)
    disproved: dict[str, tuple[str, ...]] = field(default_factory=dict)
    running: dict[str, int] = field(default_factory=dict)
    aborted: dict[str, int] = field(default_factory=dict)
    blocked: tuple[str, ...] = ()


@dataclass(frozen=True)
class TargetLimit:
    """A limit on the rate of requests that a target named to a host.

    Parameters
    ----------
    target : str
    started_ms : int
    rate : float or None
        Requests a second of all hosts together; None if it no longer names a limit.
    age_s : float
        Seconds since the target's answer.
    ends_in_s : float or None
        Seconds from that answer to the end of the limit, if the target is cold; None
        for a limit that holds until its end is reported.
    """

    target: str
    started_ms: int
    rate: float | None
    age_s: float
    ends_in_s: float | None = None


@dataclass(frozen=True)
class TargetPace:
    """The window of a target that started or recovered, as a host knows it.

    Parameters
    ----------
    target : str
    started_ms : int
    round : int
        Grows with each change. Of two windows that of the higher round counts, and of
        the same round the lower one.
    window : float
        Requests that all hosts together may have running there.
    age_s : float
        Seconds since the change.
    idle_s : float
        Seconds since a response of the target to the sender, or a send; infinite or
        very long without any.
    """

    target: str
    started_ms: int
    round: int
    window: float
    age_s: float = 0.0
    idle_s: float = 0.0


@dataclass(frozen=True)
class StoreKnowledge:
    """What a host knows of the platform's store.

    Parameters
    ----------
    epoch : int
        Number that rises each time the store is restored from a copy. Offsets of
        different epochs can't be compared.
    configuration : int
        Newest version of the configuration that has been published; 0 if none is
        known. A restored store may have an older one.
    """

    epoch: int = UNKNOWN_EPOCH
    configuration: int = 0


@register
@dataclass(frozen=True)
class HostDigest:
    """A host's own state at the time of sending.

    Parameters
    ----------
    sent_at : float
        Seconds of the sender's clock.
    running : tuple of (str, str, int)
        Target, adapter or empty, and number of the sender's requests there.
    spent : dict of str to int
        Tokens that the sender has spent since its start, by organisation.
    levels : dict of str to int
        Tokens left of the quota of all hosts by the sender's estimate, by
        organisation.
    held : tuple of HeldTarget or None
        Targets whose report changed since the previous digest, and once a second
        all; None if nothing changed.
    held_names : tuple of str
        All targets that the sender holds.
    is_stopping : bool
        Whether the sender is shutting down.
    broken : dict of str to tuple of str
        Ids of target crashes that the sender saw, by fingerprint of the request that
        was running.
    prompts : dict of str to int
        Prompt tokens that the sender sent recently, by target.
    avoided : tuple of str
        Targets that recently failed requests of the sender.
    reads : dict of str to (int, float)
        Topics of the store that the sender reads for other hosts: offset up to which
        it has read, and seconds since that read began.
    parts : PartReport
        What the sender saw of crashes by part of the prompt.
    leaving : tuple of (str, int)
        Ids and starts of targets that announced to the sender that they leave, at
        most `LEAVING_LIMIT`.
    store : StoreKnowledge
        What the sender knows of the store; `reads` refers to its epoch.
    limits : tuple of TargetLimit
        Limits that targets named to the sender.
    recent_sends : dict of str to int
        Requests of the last few seconds to targets with a limit, by target.
    speeds : dict of str to (int, int)
        How long work takes at targets, as they reported it since the previous digest:
        mean in percent of the usual and number of reports, by target.
    paces : tuple of TargetPace
        Windows of paced targets that the sender knows.
    demands : dict of str to int
        Tokens a second that the sender is asked for, by organisation, of those that
        have used half of their burst.
    """

    sent_at: float
    running: tuple[tuple[str, str, int], ...]
    spent: dict[str, int]
    levels: dict[str, int]
    held: tuple[HeldTarget, ...] | None
    held_names: tuple[str, ...]
    is_stopping: bool
    broken: dict[str, tuple[str, ...]]
    prompts: dict[str, int] = field(default_factory=dict)
    avoided: tuple[str, ...] = ()
    reads: dict[str, tuple[int, float]] = field(default_factory=dict)
    parts: PartReport = field(default_factory=PartReport)
    leaving: tuple[tuple[str, int], ...] = ()
    store: StoreKnowledge = field(default_factory=StoreKnowledge)
    limits: tuple[TargetLimit, ...] = ()
    recent_sends: dict[str, int] = field(default_factory=dict)
    speeds: dict[str, tuple[int, int]] = field(default_factory=dict)
    paces: tuple[TargetPace, ...] = ()
    demands: dict[str, int] = field(default_factory=dict)


@register
@dataclass(frozen=True)
class LoadRequested:
    """Requests a target's holder to load an adapter.

    Parameters
    ----------
    target : str
    adapter : str
        ``model/adapter``.
    version : int
        Lowest acceptable version; 0 for any.
    priority : int
        Priority of the request that needs it; 0 is the highest.
    was_missing : bool
        Whether the target reported that it doesn't have the adapter.
    is_copy : bool
        Whether another target has it too, but is overloaded.
    unusable : tuple of str
        Targets that have it or have queued its load, but of no use to the requesting
        host.
    due_s : float
        Seconds within which the request must begin to meet its objective.
    useful_s : float
        Seconds after which the request no longer needs the adapter.
    """

    target: str
    adapter: str
    version: int
    priority: int
    was_missing: bool = False
    is_copy: bool = False
    unusable: tuple[str, ...] = ()
    due_s: float = 1.0
    useful_s: float = 4.0


@register
@dataclass(frozen=True)
class LoadExpected:
    """Notifies a host that requested an adapter when it can be used.

    Parameters
    ----------
    target : str
    adapter : ResidentAdapter
    """

    target: str
    adapter: ResidentAdapter


@dataclass(frozen=True)
class PeerViewSettings:
    """How often digests are sent, and how long a peer's digest is valid.

    Parameters
    ----------
    period_s : float
        Seconds between two digests of a host.
    silent_s : float
        Seconds without a digest after which a peer counts as unreachable; longer in
        large fleets, where digests are sent less often.
    """

    period_s: Annotated[float, Meta(gt=0)] = 0.05
    silent_s: Annotated[float, Meta(gt=0)] = 0.45


class PeerView:
    """State of the peers, aggregated from the latest digest of each.

    The peer thread modifies it; any thread may read it.

    Parameters
    ----------
    settings : PeerViewSettings
    """

    def __init__(self, settings: PeerViewSettings) -> None:
        self.settings = settings
        self.latest: LatestMessages[str, HostDigest] = LatestMessages()
        self.last_seen_at: dict[str, float] = {}
        # By holder and target, with the time at which the report was received.
        self.held: dict[str, dict[str, tuple[HeldTarget, float]]] = {}
        # By target and adapter; the total of a target is under the empty name.
        self.running: dict[str, dict[str, int]] = {}
        self.holders: dict[str, str] = {}
        self.recent_prompt_tokens = DecayingSums()
        self.avoiding: Counter[str] = Counter()
        # Requests of the last few seconds to targets with a limit, by target.
        self.recent_sends: Counter[str] = Counter()
        self.aggregation_due_at = float("-inf")
        self.silent_s = settings.silent_s

    def apply_digest(self, host: str, digest: HostDigest, *, now: float) -> None:
        """Apply a digest of a peer, unless a later one is known.

        Parameters
        ----------
        host : str
        digest : HostDigest
        now : float
        """
        is_first = host not in self.latest.by_sender
        if not self.latest.add(host, digest, now=now):
            return
        self.last_seen_at = {**self.last_seen_at, host: now}
        if digest.held is not None:
            reports = {report.target: (report, now) for report in digest.held}
            self.held[host] = {**self.held.get(host, {}), **reports}
        if is_first or digest.held is not None or now >= self.aggregation_due_at:
            self.aggregation_due_at = now + AGGREGATION_PERIOD_S
            self._aggregate(now)

    def forget(self, host: str) -> None:
        """Remove the state of a host that restarted or left the fleet.

        Parameters
        ----------
        host : str
        """
        self.latest.retain(self.latest.by_sender.keys() - {host})
        self.last_seen_at = {
            name: seen_at for name, seen_at in self.last_seen_at.items() if name != host
        }
        self.held.pop(host, None)

    def list_live(self, *, now: float) -> list[str]:
        """Return the peers that aren't silent.

        Parameters
        ----------
        now : float

        Returns
        -------
        list of str
        """
        return [host for host in self.last_seen_at if self.is_live(host, now=now)]

    def is_live(self, host: str, *, now: float) -> bool:
        """Return whether a peer isn't silent.

        Parameters
        ----------
        host : str
        now : float

        Returns
        -------
        bool
        """
        return now - self.last_seen_at.get(host, float("-inf")) < self.silent_s

    def get_holder(self, target: str, *, now: float) -> str | None:
        """Return the holder of a target if it is a live peer.

        Parameters
        ----------
        target : str
        now : float

        Returns
        -------
        str or None
        """
        holder = self.holders.get(target)
        if holder is None or not self.is_live(holder, now=now):
            return None
        return holder

    def count_peer_requests(self, target: str) -> int:
        """Return the number of requests of all peers at a target.

        Parameters
        ----------
        target : str

        Returns
        -------
        int
        """
        return self.running.get(target, {}).get("", 0)

    def get_recent_prompt_tokens(self, target: str, *, now: float) -> float:
        """Return the prompt tokens that all peers recently sent to a target.

        Parameters
        ----------
        target : str
        now : float

        Returns
        -------
        float
            Prompts count less with their age.
        """
        return self.recent_prompt_tokens.get(target, now=now)

    def count_peers_avoiding(self, target: str) -> int:
        """Return the number of peers that a target recently failed.

        Parameters
        ----------
        target : str

        Returns
        -------
        int
        """
        return self.avoiding[target]

    def count_recent_sends(self, target: str) -> int:
        """Return the number of requests that all peers sent to a target lately.

        Parameters
        ----------
        target : str

        Returns
        -------
        int
            Over the window of the target's limit; 0 for targets without one.
        """
        return self.recent_sends[target]

    def count_peer_requests_by_adapter(self, target: str) -> dict[str, int]:
        """Return the numbers of requests of all peers at a target, by adapter.

        Parameters
        ----------
        target : str

        Returns
        -------
        dict of str to int
            The total is under the empty name.
        """
        return self.running.get(target, {})

    def get_last_order_at(self, target: str, *, now: float) -> float:
        """Return when a live peer last sent an order to a target, as far as known.

        Parameters
        ----------
        target : str
        now : float

        Returns
        -------
        float
            Clock time, also of peers that no longer hold the target; minus infinity if
            none has sent an order.
        """
        orders = [
            received_at - report.ordered_ago_s
            for host, reports in list(self.held.items())
            if self.is_live(host, now=now)
            for report, received_at in [reports.get(target, (None, 0.0))]
            if report is not None
        ]
        return max(orders, default=float("-inf"))

    def _aggregate(self, now: float) -> None:
        running: dict[str, dict[str, int]] = {}
        fencing_tokens: dict[str, int] = {}
        holders: dict[str, str] = {}
        recent_prompt_tokens = DecayingSums()
        avoiding: Counter[str] = Counter()
        recent_sends: Counter[str] = Counter()
        for host, received in self.latest.by_sender.items():
            if not self.is_live(host, now=now):
                continue
            digest = received.message
            for target, adapter, count in digest.running:
                by_adapter = running.setdefault(target, {})
                by_adapter[adapter] = by_adapter.get(adapter, 0) + count
                if adapter:
                    by_adapter[""] = by_adapter.get("", 0) + count
            avoiding.update(digest.avoided)
            recent_sends.update(digest.recent_sends)
            for target, sent_tokens in digest.prompts.items():
                decayed = DecayingSum(sent_tokens, received.received_at).get(now=now)
                recent_prompt_tokens.add(target, decayed, now=now)
            for held_name in digest.held_names:
                held = self.held.get(host, {}).get(held_name)
                token = held[0].fencing_token if held else 0
                if token >= fencing_tokens.get(held_name, -1):
                    fencing_tokens[held_name] = token
                    holders[held_name] = host
        self.running = running
        self.recent_prompt_tokens = recent_prompt_tokens
        self.avoiding = avoiding
        self.recent_sends = recent_sends
        self.holders = holders
