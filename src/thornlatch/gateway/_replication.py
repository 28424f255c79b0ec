"""Requests that adapters of crowded targets are also loaded at other targets."""

import logbook

from thornlatch.fleet import LoadRequested, Target, TargetRegistry
from thornlatch.gateway._ordering import OrderManager
from thornlatch.residency import (
    AdapterVersions,
    ReplicationSettings,
    ResidentTable,
    TargetLoad,
    choose_copy,
)

logger = logbook.Logger("thornlatch.residency")

COPY_PRIORITY = 1  # after the loads for requests of priority 0, the most urgent


class AdapterReplicator:
    """Replicates adapters of the targets that this host holds.

    Must be used by one thread only.

    Parameters
    ----------
    settings : ReplicationSettings
    orders : OrderManager
    registry : TargetRegistry
    residents : ResidentTable
    versions : AdapterVersions
    """

    def __init__(
        self,
        settings: ReplicationSettings,
        *,
        orders: OrderManager,
        registry: TargetRegistry,
        residents: ResidentTable,
        versions: AdapterVersions,
    ) -> None:
        self.settings = settings
        self.orders = orders
        self.registry = registry
        self.residents = residents
        self.versions = versions
        self.due_at: dict[str, float] = {}

    def tick(self, *, now: float) -> None:
        """Request copies for crowded targets whose check is due.

        Parameters
        ----------
        now : float
        """
        targets = [held.target for held in list(self.orders.held.values())]
        self.due_at = {target.id: self.due_at.get(target.id, now) for target in targets}
        for target in targets:
            if now >= self.due_at[target.id]:
                self.due_at[target.id] = now + self.settings.period_s
                self._replicate_from(target, now)

    def _replicate_from(self, target: Target, now: float) -> None:
        ready = self.registry.get_ready(target.service)
        if target.id not in [candidate.id for candidate in ready]:
            return
        uses = self.orders.get_uses(target.id, now=now)
        source = self._describe(target, uses, now)
        destinations = [
            self._describe(candidate, {}, now)
            for candidate in ready
            if candidate.id != target.id
            and not self.orders.health.limits.is_limited(candidate.incarnation)
        ]
        in_transit = self.residents.count_in_transit(now=now)
        copy = choose_copy(
            source,
            destinations,
            self.settings,
            may_fetch=in_transit < self.orders.count_engines(),
        )
        if copy is None:
            return
        version = self.versions.get_newest(copy.adapter)
        load_request = LoadRequested(
            copy.target, copy.adapter, version, COPY_PRIORITY, is_copy=True
        )
        self.orders.request_load(load_request, now=now)
        logger.info(
            "adapter.copied",
            extra={
                "adapter": copy.adapter,
                "target": copy.target,
                "crowded": target.id,
                "requests": source.requests,
                "adapter_requests": uses.get(copy.adapter, 0),
            },
        )

    def _describe(self, target: Target, uses: dict[str, int], now: float) -> TargetLoad:
        return TargetLoad(
            target.id,
            self.orders.count_requests(target.id),
            target.slots,
            uses,
            self.residents.by_target.get(target.id, {}),
            self.residents.former_adapters.get(target.id, set()),
            self.orders.is_held(target.id, now=now),
        )
