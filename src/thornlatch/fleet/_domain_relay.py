"""Aggregation of the digests of a failure domain's hosts."""

from collections import Counter
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass, field, replace

from thornlatch.fleet._digests import (
    HeldTarget,
    HostDigest,
    TargetLimit,
    TargetPace,
)
from thornlatch.fleet._domain_messages import (
    DomainDigest,
    DomainSpending,
    TargetUses,
    WorkSum,
    merge_broken,
    merge_leaving,
    merge_limits,
    merge_paces,
    merge_parts,
    merge_speeds,
    select_paces,
    sum_counts,
)
from thornlatch.fleet._latest_messages import LatestMessages

# For which the spending of a host that left is known. A stopping host leaves the list
# of hosts first and then sends digests for as long as its requests run.
DEPARTED_MEMORY_S = 60.0


@dataclass
class DomainRelay:
    """Aggregates the digests of a domain's hosts; not thread-safe.

    Parameters
    ----------
    domain, host : str
        Name of the domain, and id of this host as its relay.
    silent_s : float
        Seconds without a message after which a host counts as silent.
    """

    domain: str
    host: str
    silent_s: float
    latest: LatestMessages[str, HostDigest] = field(default_factory=LatestMessages)
    spent_totals: dict[str, dict[str, int]] = field(default_factory=dict)
    heard_at: dict[str, float] = field(default_factory=dict)
    spent: Counter[str] = field(default_factory=Counter)
    held: dict[str, tuple[str, HeldTarget]] = field(default_factory=dict)
    fencing_tokens: dict[tuple[str, str], int] = field(default_factory=dict)
    first_digest_at: float | None = None

    def apply_digest(self, host: str, digest: HostDigest, *, now: float) -> None:
        """Apply a host's digest, unless a later one is known.

        Parameters
        ----------
        host : str
        digest : HostDigest
        now : float
        """
        if not self.latest.add(host, digest, now=now):
            return
        if self.first_digest_at is None:
            self.first_digest_at = now
        known_totals = self.spent_totals.get(host)
        # What hosts spent before this host became a relay is already accounted for.
        is_settling = now - self.first_digest_at < self.silent_s
        if known_totals is not None or not is_settling:
            for organisation, total in digest.spent.items():
                self.spent[organisation] += total - (known_totals or {}).get(
                    organisation, 0
                )
        self.spent_totals[host] = digest.spent
        self.heard_at[host] = now
        for report in digest.held or ():
            if report.fencing_token or report.target not in self.held:
                self.held[report.target] = (host, report)
            self.fencing_tokens[host, report.target] = report.fencing_token

    def list_live(self, *, now: float) -> dict[str, HostDigest]:
        """Return the latest digests of the hosts that aren't silent.

        Parameters
        ----------
        now : float

        Returns
        -------
        dict of str to HostDigest
        """
        return self.latest.list_fresh(now=now, silent_s=self.silent_s)

    def build_digest(self, *, is_spare: bool = False, now: float) -> DomainDigest:
        """Return the domain's digest.

        Reports of holders are included in one digest only.

        Parameters
        ----------
        is_spare : bool
            Whether this host is a spare: another one is the domain's first relay.
        now : float

        Returns
        -------
        DomainDigest
        """
        live = self.list_live(now=now)
        running: dict[str, int] = {}
        avoided: Counter[str] = Counter()
        holders: dict[str, str] = {}
        highest_tokens: dict[str, int] = {}
        for host, digest in live.items():
            for target, _, count in digest.running:
                running[target] = running.get(target, 0) + count
            avoided.update(digest.avoided)
            for name in digest.held_names:
                token = self.fencing_tokens.get((host, name), 0)
                if token >= highest_tokens.get(name, -1):
                    highest_tokens[name], holders[name] = token, host
        held = tuple(entry for entry in self.held.values() if entry[0] in live)
        self.held = {}
        own_digest = live.get(self.host)
        spending = DomainSpending(
            self.domain,
            self.host,
            now,
            tuple(live),
            dict(self.spent),
            own_digest.levels if own_digest is not None else {},
            is_spare,
            sum_counts(digest.demands for digest in live.values()),
        )
        work = WorkSum(
            running,
            sum_counts(digest.prompts for digest in live.values()),
            dict(avoided),
            merge_broken(digest.broken for digest in live.values()),
            held,
            holders,
            merge_parts(digest.parts for digest in live.values()),
            merge_leaving(digest.leaving for digest in live.values()),
            merge_limits(self._iter_limits(live, now)),
            sum_counts(digest.recent_sends for digest in live.values()),
            merge_speeds(digest.speeds for digest in live.values()),
            select_paces(merge_paces(self._iter_paces(live, now))),
        )
        return DomainDigest(spending, work)

    def _iter_limits(self, live: Iterable[str], now: float) -> Iterator[TargetLimit]:
        """Yield the limits that live hosts report, with their present age."""
        for host in live:
            received = self.latest.by_sender[host]
            late_s = now - received.received_at
            for limit in received.message.limits:
                yield replace(limit, age_s=limit.age_s + late_s)

    def _iter_paces(self, live: Iterable[str], now: float) -> Iterator[TargetPace]:
        """Yield the windows that live hosts report, with their present age."""
        for host in live:
            received = self.latest.by_sender[host]
            late_s = now - received.received_at
            for pace in received.message.paces:
                yield replace(
                    pace, age_s=pace.age_s + late_s, idle_s=pace.idle_s + late_s
                )

    def list_echoes(self, *, now: float) -> dict[str, float]:
        """Return the send times of the included digests, by host.

        Parameters
        ----------
        now : float

        Returns
        -------
        dict of str to float
        """
        return {
            host: digest.sent_at for host, digest in self.list_live(now=now).items()
        }

    def build_target_uses(
        self, holders: Mapping[str, str], *, now: float
    ) -> dict[str, TargetUses]:
        """Return the requests at targets by adapter, for the holders of the targets.

        Parameters
        ----------
        holders : mapping of str to str
            Holders by target.
        now : float

        Returns
        -------
        dict of str to TargetUses
            Messages by holder.
        """
        counts_by_holder: dict[str, Counter[tuple[str, str]]] = {
            holder: Counter() for holder in holders.values()
        }
        for digest in self.list_live(now=now).values():
            for target, adapter, count in digest.running:
                if target in holders:
                    counts_by_holder[holders[target]][target, adapter] += count
        return {
            holder: TargetUses(
                self.domain,
                self.host,
                now,
                self._get_echoed_at(holder),
                tuple((target, adapter, n) for (target, adapter), n in counts.items()),
            )
            for holder, counts in counts_by_holder.items()
        }

    def _get_echoed_at(self, host: str) -> float:
        """Return the send time of a host's included digest; 0 if there is none."""
        received = self.latest.by_sender.get(host)
        return received.message.sent_at if received is not None else 0.0

    def retain_hosts(self, hosts: Iterable[str]) -> None:
        """Remove the state of all other hosts, except for this one.

        What they have spent is remembered for `DEPARTED_MEMORY_S`, so that a digest of
        a host that is stopping doesn't count all of its spending once more.

        Parameters
        ----------
        hosts : iterable of str
        """
        retained = {*hosts, self.host}
        self.latest.retain(retained)
        now = max(self.heard_at.values(), default=0.0)
        self.heard_at = {
            host: heard_at
            for host, heard_at in self.heard_at.items()
            if host in retained or now - heard_at < DEPARTED_MEMORY_S
        }
        self.spent_totals = {
            host: spent
            for host, spent in self.spent_totals.items()
            if host in self.heard_at
        }
        self.fencing_tokens = {
            key: token
            for key, token in self.fencing_tokens.items()
            if key[0] in retained
        }
