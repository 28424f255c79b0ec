"""Has adapters of crowded targets copied to calm ones."""

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

COPY_PRIORITY = 1  # behind the loads that urgent requests wait for


class AdapterReplicator:
    """Looks after the targets that this host holds; used by one thread.

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
        """Have copies loaded for targets that are crowded.

        Parameters
        ----------
        now : float
        """
        held = [one.target for one in list(self.orders.held.values())]
        self.due_at = {one.id: self.due_at.get(one.id, now) for one in held}
        for target in held:
            if now >= self.due_at[target.id]:
                self.due_at[target.id] = now + self.settings.period_s
                self._relieve(target, now)

    def _relieve(self, target: Target, now: float) -> None:
        ready = self.registry.get_ready(target.service)
        if target.id not in [one.id for one in ready]:
            return
        uses = self.orders.get_uses(target.id)
        crowded = self._describe(target, uses, now)
        others = [self._describe(one, {}, now) for one in ready if one.id != target.id]
        in_transit = self.residents.count_in_transit(now=now)
        advice = choose_copy(
            crowded,
            others,
            self.settings,
            may_fetch=in_transit < self.orders.count_engines(),
        )
        if advice is None:
            return
        version = self.versions.get_newest(advice.adapter)
        wish = LoadRequested(
            advice.target, advice.adapter, version, COPY_PRIORITY, is_copy=True
        )
        self.orders.request_load(wish, now=now)
        logger.info(
            "adapter.copied",
            extra={
                "adapter": advice.adapter,
                "target": advice.target,
                "crowded": target.id,
                "requests": crowded.requests,
                "adapter_requests": uses.get(advice.adapter, 0),
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
