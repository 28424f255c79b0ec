"""Choice of a failure domain's relays and of the digest to use for each domain."""

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Annotated

from msgspec import Meta

from thornlatch.fleet._domain_messages import DomainDigest
from thornlatch.fleet._latest_messages import LatestMessages

MIN_SPARE_TURNS = 2


@dataclass(frozen=True)
class ExchangeSettings:
    """How hosts of large fleets exchange digests.

    Parameters
    ----------
    mesh_hosts : int
        Largest number of hosts at which each sends its digest to all others.
    relays : int
        Relays of a domain; the spare ones replace the first one if it fails.
    period_s : float
        Least seconds between two digests of a host, also of a relay.
    host_period_s : float
        The same for each host of the fleet, so that the processor time of all hosts
        together doesn't grow with the square of their number.
    silent_s : float
        Least seconds without a message after which a host counts as silent.
    silent_periods : float
        The same as a multiple of the period.
    suspect_s : float
        Seconds for which a relay that hasn't replied isn't chosen.
    spare_s : float
        Seconds between two digests that a spare relay sends, and that hosts without
        changed reports of targets send to it; rounded to turns, two at least.
    orderers : int
        Number of hosts that order adapters if there are more hosts than partitions,
        so that the others send no renewals to the store.
    orderers_margin : int
        Ranks beyond `orderers` at which a host that orders adapters continues to.
    """

    mesh_hosts: Annotated[int, Meta(ge=2)] = 16
    relays: Annotated[int, Meta(ge=1)] = 2
    period_s: Annotated[float, Meta(gt=0)] = 0.1
    host_period_s: Annotated[float, Meta(ge=0)] = 0.0015
    silent_s: Annotated[float, Meta(gt=0)] = 0.7
    silent_periods: Annotated[float, Meta(gt=1)] = 3.5
    suspect_s: Annotated[float, Meta(gt=0)] = 3.0
    spare_s: Annotated[float, Meta(gt=0)] = 0.3
    orderers: Annotated[int, Meta(ge=1)] = 12
    orderers_margin: Annotated[int, Meta(ge=0)] = 4

    def compute_timing(self, hosts: int) -> "ExchangeTiming":
        """Return the times of a fleet.

        Parameters
        ----------
        hosts : int

        Returns
        -------
        ExchangeTiming
        """
        period_s = max(self.period_s, hosts * self.host_period_s)
        return ExchangeTiming(
            period_s,
            max(self.silent_s, period_s * self.silent_periods),
            max(round(self.spare_s / period_s), MIN_SPARE_TURNS),
        )


@dataclass(frozen=True)
class ExchangeTiming:
    """Times at which the hosts of a fleet of some size exchange digests.

    Parameters
    ----------
    period_s : float
        Seconds of a turn, in which a host sends its digest.
    silent_s : float
        Seconds without a message after which a host counts as silent.
    spare_turns : int
        Turns between two digests to and from a spare relay.
    """

    period_s: float
    silent_s: float
    spare_turns: int


@dataclass(frozen=True)
class Member:
    """A host of the fleet.

    Parameters
    ----------
    address : str
        ``ip:port`` on which it receives messages of other hosts.
    domain : str
        Its failure domain.
    capacity : float
        Hosts with a higher capacity are preferred as relays and for orders.
    tunnel_address : str
        ``ip:port`` on which it passes on connections to targets; empty for none.
    """

    address: str
    domain: str = ""
    capacity: float = 0.0
    tunnel_address: str = ""


@dataclass
class DomainDigestSelector:
    """Selects the digest with the most live hosts from those of a domain's relays.

    Parameters
    ----------
    silent_s : float
        Seconds without a message after which a relay counts as silent.
    """

    silent_s: float
    latest: LatestMessages[tuple[str, str], DomainDigest] = field(
        default_factory=LatestMessages
    )
    selected_relays: dict[str, str] = field(default_factory=dict)

    def add(self, digest: DomainDigest, *, now: float) -> bool:
        """Add a relay's digest unless a later one of the relay is known.

        Parameters
        ----------
        digest : DomainDigest
        now : float

        Returns
        -------
        bool
            Whether the digest was added.
        """
        key = (digest.spending.domain, digest.spending.relay)
        return self.latest.add(key, digest, now=now)

    def select(self, *, now: float) -> list[DomainDigest]:
        """Return the digest to use for each domain; remove those of silent relays.

        Parameters
        ----------
        now : float

        Returns
        -------
        list of DomainDigest
        """
        fresh = self.latest.list_fresh(now=now, silent_s=self.silent_s)
        self.latest.retain(fresh)
        best: dict[str, DomainDigest] = {}
        for (domain, _), digest in fresh.items():
            best_known = best.get(domain)
            if best_known is None or self._rank(digest) > self._rank(best_known):
                best[domain] = digest
        self.selected_relays = {
            domain: selected.spending.relay for domain, selected in best.items()
        }
        return list(best.values())

    def _rank(self, digest: DomainDigest) -> tuple[int, bool, bool, str]:
        spending = digest.spending
        is_selected = self.selected_relays.get(spending.domain) == spending.relay
        return (len(spending.live), is_selected, not spending.is_spare, spending.relay)


def choose_by_capacity(
    members: dict[str, Member], domain: str | None, suspects: Iterable[str], count: int
) -> list[str]:
    """Return the hosts with the highest capacity, in descending order.

    Parameters
    ----------
    members : dict of str to Member
    domain : str or None
        Only hosts of this domain; None for the whole fleet.
    suspects : iterable of str
        Hosts that may have failed; they are skipped unless there are no others.
    count : int
        Maximum number of hosts to return.

    Returns
    -------
    list of str
    """
    candidates = [
        host for host, member in members.items() if domain in (None, member.domain)
    ]
    candidates.sort(key=lambda host: (-members[host].capacity, host))
    suspected = set(suspects)
    eligible = [host for host in candidates if host not in suspected]
    return (eligible or candidates)[:count]
