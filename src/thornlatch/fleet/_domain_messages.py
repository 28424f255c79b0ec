"""Messages between the relays of failure domains and to the hosts of a domain."""

from collections.abc import Iterable
from dataclasses import dataclass, field, replace

from thornlatch.core import register
from thornlatch.fleet._digests import (
    LEAVING_LIMIT,
    HeldTarget,
    PartReport,
    StoreKnowledge,
    TargetLimit,
    TargetPace,
)

PACE_LIMIT = 128  # windows in a domain's digest; 6 KB
FLEET = ""  # in place of a host id, for what a relay reports of all hosts


@dataclass(frozen=True)
class DomainSpending:
    """Quota tokens that the hosts of a failure domain have spent, as its relay knows.

    Parameters
    ----------
    domain : str
    relay : str
        Host id.
    sent_at : float
        Seconds of the relay's clock.
    live : tuple of str
        Hosts whose digests the relay receives, itself included.
    spent : dict of str to int
        Tokens that the hosts have spent since the relay received their first digest,
        by organisation.
    levels : dict of str to int
        Tokens left of the quota of all hosts by the relay's estimate, by organisation.
    is_spare : bool
        Whether the relay is a spare: another host is the domain's first relay.
    demands : dict of str to int
        Tokens a second that the hosts are asked for, as in `HostDigest`.
    """

    domain: str
    relay: str
    sent_at: float
    live: tuple[str, ...]
    spent: dict[str, int]
    levels: dict[str, int]
    is_spare: bool = False
    demands: dict[str, int] = field(default_factory=dict)


@dataclass(frozen=True)
class WorkSum:
    """Sums over the digests of several hosts.

    Parameters
    ----------
    running : dict of str to int
        Number of requests by target.
    prompts : dict of str to int
        Prompt tokens sent recently, by target.
    avoided : dict of str to int
        Number of hosts that a target recently failed, by target.
    broken : dict of str to tuple of str
        Ids of target crashes by fingerprint of the request that was running.
    held : tuple of (str, HeldTarget)
        Reports of targets received since the previous digest, each after the id of
        the holder that sent it.
    held_names : dict of str to str
        Holders by target.
    parts : PartReport
        Crashes by part of the prompt.
    leaving : tuple of (str, int)
        Ids and starts of targets that announced that they leave, at most
        `LEAVING_LIMIT`.
    limits : tuple of TargetLimit
        Limits that targets named to any of the hosts, the latest of each target.
    recent_sends : dict of str to int
        Requests of the last few seconds to targets with a limit, by target.
    speeds : dict of str to (int, int)
        How long work takes at targets, as they reported it: mean in percent of the
        usual and number of reports, by target.
    paces : tuple of TargetPace
        Windows of paced targets that any of the hosts knows.
    """

    running: dict[str, int] = field(default_factory=dict)
    prompts: dict[str, int] = field(default_factory=dict)
    avoided: dict[str, int] = field(default_factory=dict)
    broken: dict[str, tuple[str, ...]] = field(default_factory=dict)
    held: tuple[tuple[str, HeldTarget], ...] = ()
    held_names: dict[str, str] = field(default_factory=dict)
    parts: PartReport = field(default_factory=PartReport)
    leaving: tuple[tuple[str, int], ...] = ()
    limits: tuple[TargetLimit, ...] = ()
    recent_sends: dict[str, int] = field(default_factory=dict)
    speeds: dict[str, tuple[int, int]] = field(default_factory=dict)
    paces: tuple[TargetPace, ...] = ()


@register
@dataclass(frozen=True)
class DomainDigest:
    """Digest of a domain, which a relay sends to the relays of other domains.

    Parameters
    ----------
    spending : DomainSpending
    work : WorkSum
    """

    spending: DomainSpending
    work: WorkSum

    @property
    def sent_at(self) -> float:
        """Seconds of the relay's clock."""
        return self.spending.sent_at


@register
@dataclass(frozen=True)
class FleetDigest:
    """Digest of the whole fleet, which a relay sends to the hosts of its domain.

    Parameters
    ----------
    relay : str
        Host id.
    sent_at : float
        Seconds of the relay's clock.
    domains : tuple of DomainSpending
        One entry for each domain.
    work : WorkSum
        Sums over all domains.
    echoes : dict of str to float
        `sent_at` of the digest that is included here, by host.
    reads : dict of str to (int, float)
        Topics of the store that the relay reads for other hosts: offset up to which
        it has read, and seconds since that read began.
    store : StoreKnowledge
        What the relay knows of the store; `reads` refers to its epoch.
    """

    relay: str
    sent_at: float
    domains: tuple[DomainSpending, ...]
    work: WorkSum
    echoes: dict[str, float]
    reads: dict[str, tuple[int, float]]
    store: StoreKnowledge = field(default_factory=StoreKnowledge)


@register
@dataclass(frozen=True)
class TargetUses:
    """Requests of a domain's hosts by adapter, sent to the holder of the targets.

    Parameters
    ----------
    domain, relay : str
    sent_at : float
    echoed_at : float
        `sent_at` of the holder's digest that is included; 0 if the relay has none.
    uses : tuple of (str, str, int)
        Target, adapter and number of requests.
    """

    domain: str
    relay: str
    sent_at: float
    echoed_at: float
    uses: tuple[tuple[str, str, int], ...]


def sum_work(parts: Iterable[WorkSum]) -> WorkSum:
    """Add up the work of several domains, except for the reports of holders.

    Parameters
    ----------
    parts : iterable of WorkSum

    Returns
    -------
    WorkSum
    """
    parts = list(parts)
    holders: dict[str, str] = {}
    for part in parts:
        holders.update(part.held_names)
    return WorkSum(
        sum_counts(part.running for part in parts),
        sum_counts(part.prompts for part in parts),
        sum_counts(part.avoided for part in parts),
        merge_broken(part.broken for part in parts),
        held_names=holders,
        parts=merge_parts(part.parts for part in parts),
        leaving=merge_leaving(part.leaving for part in parts),
        limits=merge_limits(limit for part in parts for limit in part.limits),
        recent_sends=sum_counts(part.recent_sends for part in parts),
        speeds=merge_speeds(part.speeds for part in parts),
        paces=select_paces(merge_paces(pace for part in parts for pace in part.paces)),
    )


def sum_counts(parts: Iterable[dict[str, int]]) -> dict[str, int]:
    """Add up counts of the same name.

    Parameters
    ----------
    parts : iterable of dict of str to int

    Returns
    -------
    dict of str to int
    """
    # Counter.update calls back for each name, which is noticeable at the rate of
    # digests.
    total: dict[str, int] = {}
    for part in parts:
        for name, count in part.items():
            total[name] = total.get(name, 0) + count
    return total


def merge_broken(
    parts: Iterable[dict[str, tuple[str, ...]]],
) -> dict[str, tuple[str, ...]]:
    """Merge crashes by request over several hosts.

    Parameters
    ----------
    parts : iterable of dict of str to tuple of str
        Ids of target crashes by fingerprint of the request that was running.

    Returns
    -------
    dict of str to tuple of str
    """
    merged: dict[str, set[str]] = {}
    for part in parts:
        for fingerprint, crash_ids in part.items():
            merged.setdefault(fingerprint, set()).update(crash_ids)
    return {fingerprint: tuple(sorted(ids)) for fingerprint, ids in merged.items()}


def merge_leaving(
    parts: Iterable[tuple[tuple[str, int], ...]],
) -> tuple[tuple[str, int], ...]:
    """Merge the leaving targets that several hosts know of.

    Parameters
    ----------
    parts : iterable of tuple of (str, int)

    Returns
    -------
    tuple of (str, int)
        At most `LEAVING_LIMIT`.
    """
    merged = {incarnation for part in parts for incarnation in part}
    return tuple(sorted(merged)[:LEAVING_LIMIT])


def merge_limits(limits: Iterable[TargetLimit]) -> tuple[TargetLimit, ...]:
    """Return the latest of the limits that several hosts report of each target.

    Parameters
    ----------
    limits : iterable of TargetLimit

    Returns
    -------
    tuple of TargetLimit
    """
    latest: dict[tuple[str, int, bool], TargetLimit] = {}
    for limit in limits:
        # A target may both name a limit and be cold.
        key = (limit.target, limit.started_ms, limit.ends_in_s is None)
        known = latest.get(key)
        if known is None or limit.age_s < known.age_s:
            latest[key] = limit
    return tuple(latest.values())


def merge_speeds(
    reports: Iterable[dict[str, tuple[int, int]]],
) -> dict[str, tuple[int, int]]:
    """Return the means of the figures of several hosts, weighted by their numbers.

    Parameters
    ----------
    reports : iterable of dict of str to (int, int)
        Mean in percent and number of figures, by target.

    Returns
    -------
    dict of str to (int, int)
    """
    merged: dict[str, tuple[int, int]] = {}
    for report in reports:
        for target, (percent, count) in report.items():
            known_percent, known_count = merged.get(target, (0, 0))
            total = known_percent * known_count + percent * count
            count += known_count
            merged[target] = (round(total / count) if count else percent, count)
    return merged


def merge_paces(paces: Iterable[TargetPace]) -> tuple[TargetPace, ...]:
    """Merge the windows of paced targets that several hosts report.

    The result doesn't depend on the order of the reports, nor on how often each
    arrives.

    Parameters
    ----------
    paces : iterable of TargetPace

    Returns
    -------
    tuple of TargetPace
        One of each incarnation, sorted by it: that of the highest round, of these the
        lowest window, of these the latest change.
    """
    merged: dict[tuple[str, int], TargetPace] = {}
    for pace in paces:
        incarnation = (pace.target, pace.started_ms)
        known = merged.get(incarnation)
        if known is None:
            merged[incarnation] = pace
            continue
        winner = max(known, pace, key=_rank_pace)
        idle_s = min(known.idle_s, pace.idle_s)
        merged[incarnation] = replace(winner, idle_s=idle_s)
    return tuple(merged[incarnation] for incarnation in sorted(merged))


def _rank_pace(pace: TargetPace) -> tuple[int, float, float]:
    return pace.round, -pace.window, -pace.age_s


def select_paces(paces: Iterable[TargetPace]) -> tuple[TargetPace, ...]:
    """Return the windows that changed last, for a message of bounded size.

    Parameters
    ----------
    paces : iterable of TargetPace

    Returns
    -------
    tuple of TargetPace
        At most `PACE_LIMIT`.
    """
    return tuple(sorted(paces, key=lambda pace: pace.age_s)[:PACE_LIMIT])


def merge_parts(reports: Iterable[PartReport]) -> PartReport:
    """Merge crashes by part of the prompt over several hosts.

    Parameters
    ----------
    reports : iterable of PartReport

    Returns
    -------
    PartReport
        With the highest round that was reported of each crash.
    """
    reports = list(reports)
    rounds: dict[str, dict[str, int]] = {}
    disproved: dict[str, set[str]] = {}
    for report in reports:
        for part, crash_ids in report.disproved.items():
            disproved.setdefault(part, set()).update(crash_ids)
        for part, part_rounds in report.rounds.items():
            merged = rounds.setdefault(part, {})
            for crash_id, round_number in part_rounds.items():
                merged[crash_id] = max(round_number, merged.get(crash_id, 0))
    return PartReport(
        rounds,
        {part: tuple(sorted(crash_ids)) for part, crash_ids in disproved.items()},
        sum_counts(report.running for report in reports),
        sum_counts(report.aborted for report in reports),
        tuple(sorted({part for report in reports for part in report.blocked})),
    )
