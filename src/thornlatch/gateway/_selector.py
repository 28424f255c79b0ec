"""Choice of a target for a request, with the wait for an adapter if need be."""

import logbook

from thornlatch.core import read_clock
from thornlatch.exceptions import ErrorKind
from thornlatch.fleet import LoadRequested, Target, TargetRegistry
from thornlatch.gateway._call import (
    NOT_OFFERED_MARGIN_S,
    Call,
    build_failure,
    build_refusal,
)
from thornlatch.gateway._choice import (
    Demand,
    Option,
    Step,
    TargetState,
    list_options,
)
from thornlatch.gateway._health import TargetHealth
from thornlatch.gateway._ordering import OrderManager
from thornlatch.gateway._settings import ForwardingSettings
from thornlatch.residency import AdapterVersions, ResidentTable

logger = logbook.Logger("thornlatch.gateway")

ASK_AGAIN_S = 0.1  # a holder that hasn't loaded by then is taken as not answering
AVOIDING_PEERS = 2  # hosts that avoid a target until this one does, too
WAIT_TURN_S = 0.1  # longest sleep of a waiting request between two looks


class TargetSelector:
    """Finds the target that a request is sent to next.

    Parameters
    ----------
    settings : ForwardingSettings
    failure_domain : str
    registry : TargetRegistry
    versions : AdapterVersions
    residents : ResidentTable
    orders : OrderManager
    health : TargetHealth
    """

    def __init__(
        self,
        settings: ForwardingSettings,
        *,
        failure_domain: str,
        registry: TargetRegistry,
        versions: AdapterVersions,
        residents: ResidentTable,
        orders: OrderManager,
        health: TargetHealth,
    ) -> None:
        self.settings = settings
        self.failure_domain = failure_domain
        self.registry = registry
        self.versions = versions
        self.residents = residents
        self.orders = orders
        self.health = health

    def choose(self, call: Call) -> Option:
        """Return a target that can take a request now; wait for a load if need be.

        Parameters
        ----------
        call : Call

        Returns
        -------
        Option

        Raises
        ------
        RequestRefused
            If none will in the time that the request has.
        """
        asked: dict[str, float] = {}
        chosen_from = read_clock()
        wait_until = self._get_wait_until(call)
        while True:
            if call.running.stop_reason is not None:
                raise build_failure(call)
            now = read_clock()
            options = self._list_options(call, asked, now)
            if not options:
                if call.excluded and not call.may_have_run:
                    call.excluded.clear()
                    if call.tries:
                        raise build_failure(call)
                    continue
                if call.may_have_run:
                    raise build_failure(call)
                if now + WAIT_TURN_S >= wait_until:
                    raise build_refusal(call, ErrorKind.NO_TARGET, 0.5, "no target")
                self.residents.wait(call.request.adapter, WAIT_TURN_S)
                continue
            best = options[0]
            if best.step is Step.ASK_LOAD and best.target.id not in asked:
                # Also if the caller is told to come back: it is there by then.
                asked[best.target.id] = now
                self.ask_load(call, best.target, now, was_missing=False)
            if now + best.wait_s >= max(wait_until, now + NOT_OFFERED_MARGIN_S):
                raise build_refusal(
                    call,
                    ErrorKind.OVERLOADED,
                    best.wait_s,
                    f"{best.target.id} would start it in {best.wait_s:.2f} s",
                )
            if best.step is Step.SEND:
                call.waited_s += now - chosen_from
                return best
            left_s = max(min(best.wait_s, wait_until - now), 0.001)
            self.residents.wait(call.request.adapter, min(left_s, WAIT_TURN_S))

    def has_other(self, call: Call, target: str) -> bool:
        """Return whether there is another target that hasn't failed a request.

        Parameters
        ----------
        call : Call
        target : str

        Returns
        -------
        bool
        """
        tried = call.excluded | {target}
        return any(t.id not in tried for t in self.registry.get_ready(call.service))

    def _get_wait_until(self, call: Call) -> float:
        """Return until when a request may wait before it is sent."""
        settings = self.settings
        budget_s = call.running.ends_at - call.waits_since
        wait_s = max(
            call.route.objective_s * settings.wait_objectives,
            budget_s * settings.wait_budget_ratio,
        )
        wait_until = call.waits_since + wait_s
        return min(wait_until, call.running.ends_at - NOT_OFFERED_MARGIN_S)

    def _list_options(
        self, call: Call, asked: dict[str, float], now: float
    ) -> list[Option]:
        adapter = call.request.adapter
        required = self.versions.get_required(adapter, now=now) if adapter else 0
        holder = self.orders.settings
        pace_s = call.route.objective_s * self.settings.pace_objectives
        demand = Demand(
            adapter,
            required,
            self.failure_domain,
            frozenset(call.excluded),
            holder.adapter_load_s,
            holder.adapter_load_s * holder.former_load_ratio,
            self.health.get_service_s(call.service),
            self.health.get_prefill_s(call.service),
            may_pace=now - call.waits_since < pace_s,
        )

        def get_state(target: Target) -> TargetState:
            requests = self.orders.count_requests(target.id)
            requests = max(requests, self.health.get_load(target.id, now=now))
            is_avoided = self._is_avoided(target.id, now)
            prompts = self.orders.count_prompts(target.id, now=now)
            if not adapter:
                return TargetState(requests, prompts, is_avoided)
            resident = self.residents.get(target.id, adapter)
            in_transit = 0
            if resident is None:
                in_transit = self.orders.count_in_transit(target.id, now=now)
            asked_at = asked.get(target.id)
            has_answered = asked_at is None or now - asked_at < ASK_AGAIN_S
            return TargetState(
                requests,
                prompts,
                is_avoided,
                resident,
                has_answered and self.orders.is_held(target.id, now=now),
                in_transit,
                self.residents.is_former_target(target.id, adapter),
            )

        targets = self.registry.get_ready(call.service)
        likely = self.residents.list_possible_targets(adapter)
        return list_options(
            targets, demand, get_state, self.settings, likely=likely, now=now
        )

    def _is_avoided(self, target: str, now: float) -> bool:
        if self.health.is_avoided(target, now=now):
            return True
        # One host alone may have lost its own way to the target.
        return self.orders.peers.count_peers_avoiding(target) >= AVOIDING_PEERS

    def _list_unusable(self, call: Call, now: float) -> tuple[str, ...]:
        """Return targets whose copy of a request's adapter doesn't help it."""
        return tuple(
            target.id
            for target in self.registry.get_ready(call.service)
            if self.residents.get(target.id, call.request.adapter) is not None
            and (target.id in call.excluded or self._is_avoided(target.id, now))
        )

    def ask_load(
        self, call: Call, target: Target, now: float, *, was_missing: bool
    ) -> None:
        """Have a request's adapter loaded at a target.

        Parameters
        ----------
        call : Call
        target : Target
        now : float
        was_missing : bool
            Whether the target denied holding it.
        """
        adapter = call.request.adapter
        version = self.versions.get_required(adapter, now=now)
        wish = LoadRequested(
            target.id,
            adapter,
            version,
            call.priority,
            was_missing,
            unusable=self._list_unusable(call, now),
        )
        self.orders.request_load(wish, now=now)
        logger.info(
            "adapter.requested",
            extra={
                "request": call.request.id,
                "target": target.id,
                "adapter": adapter,
                "version": version,
                "was_missing": was_missing,
            },
        )
