"""The slices of one host, wired together without sockets, threads or clock."""

from dataclasses import dataclass, field
from random import Random
from typing import Any

from thornlatch.admission import (
    Admission,
    AdmissionSettings,
    Allowance,
    LoadBudgetShare,
)
from thornlatch.configuration import (
    Configuration,
    ConfigurationSettings,
    ConfigurationView,
    Organisation,
    Store,
)
from thornlatch.core import Action, Emit, Event, Slice, get_host_name
from thornlatch.dispatch import Dispatch, DispatchSettings
from thornlatch.leases import LeaseTable
from thornlatch.logservice import FollowerSettings, HostList
from thornlatch.membership import Membership, MembershipSettings
from thornlatch.placement import LoadBudget, PlacementSettings
from thornlatch.requests import (
    ClaimTable,
    Quarantine,
    QuarantineSettings,
    RequestsSettings,
)

WAITING_HOLD_S = 1.0


@dataclass(frozen=True)
class SliceSettings:
    """Settings of the slices.

    Parameters
    ----------
    membership : MembershipSettings
    configuration : ConfigurationSettings
    admission : AdmissionSettings
    placement : PlacementSettings
    dispatch : DispatchSettings
    requests : RequestsSettings
    quarantine : QuarantineSettings
    follower : FollowerSettings
    """

    membership: MembershipSettings = field(default_factory=MembershipSettings)
    configuration: ConfigurationSettings = field(default_factory=ConfigurationSettings)
    admission: AdmissionSettings = field(default_factory=AdmissionSettings)
    placement: PlacementSettings = field(default_factory=PlacementSettings)
    dispatch: DispatchSettings = field(default_factory=DispatchSettings)
    requests: RequestsSettings = field(default_factory=RequestsSettings)
    quarantine: QuarantineSettings = field(default_factory=QuarantineSettings)
    follower: FollowerSettings = field(default_factory=FollowerSettings)


class HostSlices:
    """The slices of one host, and the calls between them.

    Parameters
    ----------
    settings : SliceSettings
    host : str
        Host id, unique to the session.
    address : str
        ``ip:port`` for peers.
    failure_domain : str
    random : random.Random
    host_list : HostList or None
        Latest list of the platform that the host's former session applied.
    """

    def __init__(
        self,
        settings: SliceSettings,
        *,
        host: str,
        address: str,
        failure_domain: str,
        random: Random,
        host_list: HostList | None = None,
    ) -> None:
        self.host = host
        self.membership = Membership(
            settings.membership,
            host=host,
            address=address,
            failure_domain=failure_domain,
            random=random,
        )
        self.leases = LeaseTable(self.membership)
        self.configuration = Configuration(
            settings.configuration, host=host, leases=self.leases
        )
        self.admission = Admission(settings.admission, host=host, leases=self.leases)
        self.dispatch = Dispatch(
            settings.dispatch,
            host=host,
            leases=self.leases,
            random=random,
            placement=settings.placement,
            make_budget=self._make_budget,
        )
        self.membership.control_writer.has_open_orders = lambda now: (
            self.dispatch.has_open_orders(now=now)
        )
        self.claims = ClaimTable(settings.requests, host=host, leases=self.leases)
        self.quarantine = Quarantine(settings.quarantine, host=host, leases=self.leases)
        self.slices: tuple[Slice, ...] = (
            self.membership,
            self.configuration,
            self.admission,
            self.dispatch,
            self.claims,
            self.quarantine,
        )
        self.distributed_offset = -1
        self.budgets: list[SharedLoadBudget] = []
        self.organisations: dict[str, Organisation] = {}
        self.leaving: set[str] = set()
        self.host_list = host_list or HostList()
        self.listed_leaving: set[str] = set()

    def apply_records(
        self, records: list[tuple[int, Any]], *, now: float
    ) -> list[Action]:
        """Apply records of one stream of the log to all slices.

        Parameters
        ----------
        records : list of (int, object)
            Offset and record.
        now : float

        Returns
        -------
        list of Action
        """
        actions: list[Action] = []
        for offset, record in records:
            for slice_ in self.slices:
                actions += slice_.apply_record(offset, record, now=now)
        return actions + self.distribute_configuration(now=now)

    def distribute_configuration(self, *, now: float) -> list[Action]:
        """Hand the configuration in force to the slices, if it changed.

        Parameters
        ----------
        now : float

        Returns
        -------
        list of Action
        """
        view = self.configuration.view
        if view.offset == self.distributed_offset or view.inventory_offset < 0:
            return []
        self.distributed_offset = view.offset
        organisations = tuple(view.iter_organisations())
        self.admission.set_allowances(
            build_allowances(view), offset=view.offset, now=now
        )
        actions = self.dispatch.set_inventory(
            view.iter_pools(),
            view.iter_targets(),
            view.find_adapter,
            view.iter_stores(),
            organisations,
            offset=view.offset,
            now=now,
        )
        # The inventory may have targets that the host list named before.
        actions += self._update_listed_leaving(now)
        return actions + self._emit_changes(view)

    def _emit_changes(self, view: ConfigurationView) -> list[Action]:
        actions: list[Action] = []
        for organisation in view.iter_organisations():
            if self.organisations.get(organisation.name) != organisation:
                actions.append(_emit_allowance(organisation, view.offset))
        self.organisations = {item.name: item for item in view.iter_organisations()}
        return actions + self._emit_leaving_changes(view)

    def _emit_leaving_changes(self, view: ConfigurationView) -> list[Action]:
        configured = {item.name for item in view.iter_targets() if item.is_leaving}
        leaving = configured | self.listed_leaving
        actions: list[Action] = []
        for target in sorted(leaving ^ self.leaving):
            change = "leaving" if target in leaving else "returned"
            event = Event(
                f"dispatch.target_{change}", target=target, offset=view.offset
            )
            actions.append(Emit(event))
        self.leaving = leaving
        return actions

    def note_host_list(self, hosts: HostList, *, now: float) -> list[Action]:
        """Apply the platform's host list, which may lag.

        Targets that the list names as leaving get no new requests. What it says about
        daemons is only a hint for membership, and is ignored unless the list has this
        host as live: a list without it must be out of date.

        Parameters
        ----------
        hosts : HostList
        now : float

        Returns
        -------
        list of Action
        """
        actions: list[Action] = []
        if get_host_name(self.host) in hosts.live:
            actions += self.membership.note_host_list(
                hosts.live, hosts.leaving, now=now
            )
        self.host_list = hosts
        actions += self._update_listed_leaving(now)
        return actions + self._emit_leaving_changes(self.configuration.view)

    def _update_listed_leaving(self, now: float) -> list[Action]:
        listed = {
            target.name
            for target in self.configuration.view.iter_targets()
            if self.host_list.is_leaving(target.name, target.address)
        }
        actions: list[Action] = []
        for target in sorted(listed ^ self.listed_leaving):
            actions += self.dispatch.note_target_leaving(
                target, is_leaving=target in listed, now=now
            )
        self.listed_leaving = listed
        return actions

    def tick(self, *, now: float) -> list[Action]:
        """Report to admission whether loads wait for the budgets of their stores.

        Parameters
        ----------
        now : float

        Returns
        -------
        list of Action
        """
        actions: list[Action] = []
        for budget in self.budgets:
            actions += budget.report_waiting_loads(now=now)
        return actions

    def _make_budget(self, store: Store) -> LoadBudget:
        budget = SharedLoadBudget(self.admission, store.name)
        self.budgets.append(budget)
        return budget


def _emit_allowance(organisation: Organisation, offset: int) -> Action:
    detail = {"rate": organisation.rate, "burst": organisation.burst}
    return Emit(
        Event(
            "configuration.allowance_in_force",
            organisation=organisation.name,
            offset=offset,
            detail=detail,
        )
    )


def build_allowances(view: ConfigurationView) -> dict[str, Allowance]:
    """Build the allowances of all lease keys from the configuration in force.

    Parameters
    ----------
    view : ConfigurationView

    Returns
    -------
    dict
        By lease key.
    """
    allowances = {
        f"organisation:{o.name}": Allowance(o.rate, o.burst)
        for o in view.iter_organisations()
    }
    for store in view.iter_stores():
        allowances[f"store:{store.name}"] = Allowance(
            store.loads_per_s, float(store.full_speed_loads), store.in_flight_loads
        )
    return allowances


class SharedLoadBudget:
    """Share of a store's fleet-wide load budget, as placement uses it at this host.

    Parameters
    ----------
    admission : Admission
    store : str
    """

    def __init__(self, admission: Admission, store: str) -> None:
        self.admission = admission
        self.store = store
        self.waiting_until: float | None = None

    def try_acquire(self, now: float) -> bool:
        """Acquire the permission to start one load, or note that a load waits for it.

        Parameters
        ----------
        now : float

        Returns
        -------
        bool
            Whether the load may start.
        """
        if self._get_share(now).try_acquire(now=now):
            return True
        self.waiting_until = now + WAITING_HOLD_S
        return False

    def release(self, now: float) -> None:
        """Note that a load has ended, whether or not it succeeded.

        Parameters
        ----------
        now : float
        """
        self._get_share(now).release(now=now)

    def report_waiting_loads(self, *, now: float) -> list[Action]:
        """Report to admission whether a load waits for the store's budget.

        A refused load counts as waiting for `WAITING_HOLD_S`.

        Parameters
        ----------
        now : float

        Returns
        -------
        list of Action
        """
        if self.waiting_until is None:
            return []
        is_waiting = now < self.waiting_until
        if not is_waiting:
            self.waiting_until = None
        return self._get_share(now).set_waiting_loads(int(is_waiting), now=now)

    def _get_share(self, now: float) -> LoadBudgetShare:
        return self.admission.get_load_budget(self.store, now=now)
