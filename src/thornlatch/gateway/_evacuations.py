"""Leaves out the targets of evacuated failure domains, and records it."""

import threading
from collections.abc import Callable, Collection

import logbook

from thornlatch.fleet import (
    Evacuation,
    EvacuationChange,
    EvacuationStatus,
    EvacuationTable,
    TargetRegistry,
)
from thornlatch.gateway._metrics import GatewayMetrics
from thornlatch.gateway._work import WorkTable

logger = logbook.Logger("thornlatch.gateway")


class Evacuations:
    """Evacuated failure domains of a gateway host; thread-safe.

    Parameters
    ----------
    registry : TargetRegistry
    work : WorkTable
    metrics : GatewayMetrics
    on_domain_returned : callable
        Called with a domain and the time when its evacuation has ended, before its
        targets may be selected. Mustn't change evacuations.
    """

    def __init__(
        self,
        *,
        registry: TargetRegistry,
        work: WorkTable,
        metrics: GatewayMetrics,
        on_domain_returned: Callable[[str, float], None],
    ) -> None:
        self.registry = registry
        self.work = work
        self.metrics = metrics
        self.on_domain_returned = on_domain_returned
        self.table = EvacuationTable()
        self.lock = threading.Lock()
        # Domains for which it hasn't been checked whether any target is there.
        self.unchecked: set[str] = set()

    def is_evacuated(self, domain: str) -> bool:
        """Return whether a failure domain is evacuated.

        Parameters
        ----------
        domain : str

        Returns
        -------
        bool
        """
        return domain in self.table.evacuations

    def begin(self, domain: str, *, read_at: float, now: float) -> bool:
        """Evacuate a failure domain.

        Parameters
        ----------
        domain : str
        read_at : float
            Start of the read that returned the record.
        now : float

        Returns
        -------
        bool
            Whether it wasn't evacuated before.
        """
        with self.lock:
            return self._apply(
                self.table.begin(domain, read_at=read_at, now=now),
                read_at=read_at,
                now=now,
            )

    def end(self, domain: str, *, read_at: float, now: float) -> bool:
        """End the evacuation of a failure domain.

        Parameters
        ----------
        domain : str
        read_at : float
            Start of the read that returned the deletion.
        now : float

        Returns
        -------
        bool
            Whether it was evacuated.
        """
        with self.lock:
            return self._apply(self.table.end(domain), read_at=read_at, now=now)

    def replace_all(
        self, domains: frozenset[str], *, read_at: float, now: float
    ) -> bool:
        """Apply a complete read of the operators' records.

        Parameters
        ----------
        domains : frozenset of str
        read_at : float
            Start of the read.
        now : float

        Returns
        -------
        bool
            Whether an evacuation began. Those missing in the read end later.
        """
        with self.lock:
            return self._apply(
                self.table.replace_all(domains, read_at=read_at, now=now),
                read_at=read_at,
                now=now,
            )

    def confirm(self, *, read_at: float) -> None:
        """Record that all records published up to a time have been applied.

        Parameters
        ----------
        read_at : float
            Start of the read.
        """
        self.table.confirm(read_at=read_at)

    def expire(self, *, now: float) -> bool:
        """End evacuations that the operator hasn't written again after a restore.

        Parameters
        ----------
        now : float

        Returns
        -------
        bool
            Whether one ended.
        """
        if not self.table.evacuations:
            return False
        with self.lock:
            return self._apply(
                self.table.expire(now=now), read_at=self.table.confirmed_at, now=now
            )

    def check_unknown(self, known_domains: Collection[str]) -> None:
        """Log evacuated domains that nothing belongs to, once for each evacuation.

        Parameters
        ----------
        known_domains : collection of str
            Domains that hosts or the settings name; those of targets are known anyway.
        """
        with self.lock:
            unchecked, self.unchecked = self.unchecked, set()
        for domain in sorted(unchecked.difference(known_domains)):
            if not self.registry.list_domain_targets(domain):
                logger.warning("evacuation.unknown_domain", extra={"domain": domain})

    def list_status(self, *, now: float) -> tuple[EvacuationStatus, ...]:
        """Return the evacuations in force, for operators.

        Parameters
        ----------
        now : float

        Returns
        -------
        tuple of EvacuationStatus
        """
        return self.table.list_status(now=now)

    def _apply(self, change: EvacuationChange, *, read_at: float, now: float) -> bool:
        if not (change.began or change.ended):
            return False
        for evacuation in change.ended:
            self.unchecked.discard(evacuation.domain)
            # What holds for its targets must hold before they are selected.
            self.on_domain_returned(evacuation.domain, now)
        self.registry.set_evacuated(self.table.domains)
        self.metrics.evacuated_domains.set(len(self.table.evacuations))
        for evacuation in change.began:
            self.unchecked.add(evacuation.domain)
            self._log("evacuation.began", evacuation, now - read_at)
        for evacuation in change.ended:
            self._log("evacuation.ended", evacuation, now - read_at)
        return True

    def _log(self, event: str, evacuation: Evacuation, read_age_s: float) -> None:
        targets = self.registry.list_domain_targets(evacuation.domain)
        logger.info(
            event,
            extra={
                "domain": evacuation.domain,
                "read_age_s": round(read_age_s, 3),
                "targets": len(targets),
                "running": sum(self.work.get_total(target.id) for target in targets),
            },
        )
