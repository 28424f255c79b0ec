"""Builds the status page of a gateway host."""

from collections import Counter
from collections.abc import Callable

from thornlatch.fleet import UNKNOWN_EPOCH, Target
from thornlatch.gateway._choice import TargetState
from thornlatch.gateway._explanation_settings import ExplanationSettings
from thornlatch.gateway._explanations import (
    READY,
    ConfigurationStatus,
    GatewayStatus,
    PeerStatus,
    Reason,
    StateCount,
    TargetStatus,
    compute_age_s,
)
from thornlatch.gateway._fleet_link import HostState
from thornlatch.gateway._target_reasons import (
    FleetFacts,
    TargetFacts,
    build_ready,
    list_target_reasons,
)


class StatusBuilder:
    """Builds the status page from the state of the host; it changes none of it.

    Parameters
    ----------
    settings : ExplanationSettings
    host : str
        This host's id.
    state : HostState
    list_not_ready : callable
        Returns why the host isn't ready, at a time.
    get_configured_at : callable
        Returns when the configuration came into force; minus infinity if none has.
    """

    def __init__(
        self,
        settings: ExplanationSettings,
        *,
        host: str,
        state: HostState,
        list_not_ready: Callable[[float], tuple[Reason, ...]],
        get_configured_at: Callable[[], float],
    ) -> None:
        self.settings = settings
        self.host = host
        self.state = state
        self.list_not_ready = list_not_ready
        self.get_configured_at = get_configured_at

    def build(self, *, now: float) -> GatewayStatus:
        """Return the status of the host.

        Parameters
        ----------
        now : float

        Returns
        -------
        GatewayStatus
        """
        state = self.state
        not_ready = self.list_not_ready(now)
        targets = self._describe_targets(now)
        counts = Counter(
            (target.service, reason.code)
            for target in targets
            for reason in target.states
        )
        epoch = state.store_epochs.current
        return GatewayStatus(
            self.host,
            not not_ready,
            not_ready,
            self._describe_configuration(now),
            None if epoch == UNKNOWN_EPOCH else epoch,
            len(state.work.running),
            tuple(
                PeerStatus(host, now - seen_at, state.peers.is_live(host, now=now))
                for host, seen_at in sorted(state.peers.last_seen_at.items())
            ),
            tuple(
                StateCount(service, code, count)
                for (service, code), count in sorted(counts.items())
            ),
            tuple(targets[: self.settings.target_limit]),
            len(targets),
        )

    def _describe_configuration(self, now: float) -> ConfigurationStatus:
        in_force = self.state.in_force
        return ConfigurationStatus(
            in_force.version,
            in_force.newest_version,
            compute_age_s(self.get_configured_at(), now),
            compute_age_s(in_force.confirmed_at, now),
            compute_age_s(in_force.renewed_at, now),
            in_force.is_fresh(now=now),
        )

    def _describe_targets(self, now: float) -> list[TargetStatus]:
        state = self.state
        fleet = FleetFacts(state.registry, state.peers, state.health.build_copy())
        targets = [
            self._describe_target(fleet, target, now)
            for target in list(state.registry.targets.values())
        ]
        targets.sort(key=lambda target: (target.states[0].code == READY, target.target))
        return targets

    def _describe_target(
        self, fleet: FleetFacts, target: Target, now: float
    ) -> TargetStatus:
        requests = max(
            self.state.orders.count_requests(target.id),
            fleet.health.get_reported_requests(target.id, now=now),
        )
        facts = TargetFacts(fleet, target, TargetState(requests), now)
        states = list_target_reasons(facts) or (build_ready(facts),)
        return TargetStatus(target.id, target.service, requests, target.slots, states)
