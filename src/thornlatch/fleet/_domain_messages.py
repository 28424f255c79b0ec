"""What relays of failure domains tell each other and their hosts."""

from collections.abc import Iterable
from dataclasses import dataclass, field

from thornlatch.core import register
from thornlatch.fleet._digests import HeldTarget


@dataclass(frozen=True)
class DomainSpending:
    """What a failure domain's hosts have spent, as its relay has heard of it.

    Parameters
    ----------
    domain : str
    relay : str
        Host id.
    sent_at : float
        Seconds of the relay's clock.
    live : tuple of str
        Hosts that the relay hears of, itself included.
    spent : dict of str to int
        Organisation to tokens that the hosts have spent since the relay heard of them.
    levels : dict of str to int
        Organisation to tokens that the relay believes are left over all hosts.
    is_spare : bool
        Whether another host is the domain's first relay.
    """

    domain: str
    relay: str
    sent_at: float
    live: tuple[str, ...]
    spent: dict[str, int]
    levels: dict[str, int]
    is_spare: bool = False


@dataclass(frozen=True)
class WorkSum:
    """The work of several hosts, added up.

    Parameters
    ----------
    running : dict of str to int
        Target to requests there.
    prompts : dict of str to int
        Target to prompt tokens sent to it lately.
    avoided : dict of str to int
        Target to hosts that it failed lately.
    broken : dict of str to tuple of str
        Fingerprints of requests to the targets that broke them off.
    held : tuple of (str, HeldTarget)
        Holder and what it says of a target, if that is new.
    held_names : dict of str to str
        Target to its holder.
    """

    running: dict[str, int] = field(default_factory=dict)
    prompts: dict[str, int] = field(default_factory=dict)
    avoided: dict[str, int] = field(default_factory=dict)
    broken: dict[str, tuple[str, ...]] = field(default_factory=dict)
    held: tuple[tuple[str, HeldTarget], ...] = ()
    held_names: dict[str, str] = field(default_factory=dict)


@register
@dataclass(frozen=True)
class DomainDigest:
    """What a relay tells the relays of other domains.

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
    """What a relay tells the hosts of its domain.

    Parameters
    ----------
    relay : str
        Host id.
    sent_at : float
        Seconds of the relay's clock.
    domains : tuple of DomainSpending
        A row for each domain, spent by its hosts.
    work : WorkSum
        Of all domains.
    echoes : dict of str to float
        Host to `sent_at` of its digest that is counted here.
    reads : dict of str to (int, float)
        Topics that the relay reads for the others: offset up to which it has read, and
        seconds since that read began.
    """

    relay: str
    sent_at: float
    domains: tuple[DomainSpending, ...]
    work: WorkSum
    echoes: dict[str, float]
    reads: dict[str, tuple[int, float]]


@register
@dataclass(frozen=True)
class TargetUses:
    """Requests of a domain's hosts by adapter, for the host that orders a target.

    Parameters
    ----------
    domain, relay : str
    sent_at : float
    echoed_at : float
        As in `FleetDigest`; 0 if the holder is of another domain.
    uses : tuple of (str, str, int)
        Target, adapter and requests.
    """

    domain: str
    relay: str
    sent_at: float
    echoed_at: float
    uses: tuple[tuple[str, str, int], ...]


def add_up(parts: Iterable[WorkSum]) -> WorkSum:
    """Add up the work of several domains, but for what holders said that is new.

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
        add_counts(part.running for part in parts),
        add_counts(part.prompts for part in parts),
        add_counts(part.avoided for part in parts),
        unite_broken(part.broken for part in parts),
        held_names=holders,
    )


def add_counts(parts: Iterable[dict[str, int]]) -> dict[str, int]:
    """Add up counts by name.

    Parameters
    ----------
    parts : iterable of dict of str to int

    Returns
    -------
    dict of str to int
    """
    # Counter's own loop calls back for each name, which shows at this rate.
    total: dict[str, int] = {}
    for part in parts:
        for name, count in part.items():
            total[name] = total.get(name, 0) + count
    return total


def unite_broken(
    parts: Iterable[dict[str, tuple[str, ...]]],
) -> dict[str, tuple[str, ...]]:
    """Return the targets that each request broke off at, over several hosts.

    Parameters
    ----------
    parts : iterable of dict of str to tuple of str
        Fingerprint to targets.

    Returns
    -------
    dict of str to tuple of str
    """
    united: dict[str, set[str]] = {}
    for part in parts:
        for fingerprint, targets in part.items():
            united.setdefault(fingerprint, set()).update(targets)
    return {fingerprint: tuple(sorted(some)) for fingerprint, some in united.items()}
