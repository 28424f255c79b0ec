"""All slices of one host, put together; free of sockets, threads and clock."""

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

WANT_HOLD_S = 1.0


@dataclass(frozen=True)
class SliceSettings:
    """Settings of the slices, one class each.

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


class Node:
    """The slices of one host and what passes between them.

    Parameters
    ----------
    settings : SliceSettings
    host : str
        Host id, unique for this life of the process.
    address : str
        ``ip:port`` for peers.
    failure_domain : str
    random : random.Random
    """

    def __init__(
        self,
        settings: SliceSettings,
        *,
        host: str,
        address: str,
        failure_domain: str,
        random: Random,
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
        self.offset_passed_on = -1
        self.budgets: list[SharedLoadBudget] = []
        self.organisations: dict[str, Organisation] = {}
        self.leaving: set[str] = set()
        self.listed_leaving: set[str] = set()

    def apply_records(
        self, records: list[tuple[int, Any]], *, now: float
    ) -> list[Action]:
        """Apply records of one stream of the log.

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
            for part in self.slices:
                actions += part.apply_record(offset, record, now=now)
        return actions + self.pass_on_configuration(now=now)

    def pass_on_configuration(self, *, now: float) -> list[Action]:
        """Give the slices the configuration in force, if it changed.

        Parameters
        ----------
        now : float

        Returns
        -------
        list of Action
        """
        view = self.configuration.view
        if view.offset == self.offset_passed_on or view.inventory_offset < 0:
            return []
        self.offset_passed_on = view.offset
        organisations = tuple(view.iter_organisations())
        self.admission.set_allowances(
            build_allowances(view), offset=view.offset, now=now
        )
        actions = self._tell_changes(view)
        return actions + self.dispatch.set_inventory(
            view.iter_pools(),
            view.iter_targets(),
            view.find_adapter,
            view.iter_stores(),
            organisations,
            offset=view.offset,
            now=now,
        )

    def _tell_changes(self, view: ConfigurationView) -> list[Action]:
        actions: list[Action] = []
        for one in view.iter_organisations():
            if self.organisations.get(one.name) != one:
                actions.append(_tell_allowance(one, view.offset))
        self.organisations = {one.name: one for one in view.iter_organisations()}
        return actions + self._tell_leaving(view)

    def _tell_leaving(self, view: ConfigurationView) -> list[Action]:
        drained = {one.name for one in view.iter_targets() if one.is_leaving}
        leaving = drained | self.listed_leaving
        actions: list[Action] = []
        for target in sorted(leaving ^ self.leaving):
            what = "leaving" if target in leaving else "returned"
            event = Event(f"dispatch.target_{what}", target=target, offset=view.offset)
            actions.append(Emit(event))
        self.leaving = leaving
        return actions

    def note_host_list(self, hosts: HostList, *, now: float) -> list[Action]:
        """Take in the platform's lagging list of hosts.

        Targets that it names as leaving get no new work. For daemons it is a hint at
        most, and only if it names this one, which surely lives.

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
        view = self.configuration.view
        listed = {
            target.name
            for target in view.iter_targets()
            if hosts.is_leaving(target.name, target.address)
        }
        for target in sorted(listed ^ self.listed_leaving):
            actions += self.dispatch.note_target_leaving(
                target, is_leaving=target in listed, now=now
            )
        self.listed_leaving = listed
        return actions + self._tell_leaving(view)

    def tick(self, *, now: float) -> list[Action]:
        """Pass on what one slice wants of another.

        Parameters
        ----------
        now : float

        Returns
        -------
        list of Action
        """
        actions: list[Action] = []
        for budget in self.budgets:
            actions += budget.report_want(now=now)
        return actions

    def _make_budget(self, store: Store) -> LoadBudget:
        budget = SharedLoadBudget(self.admission, store.name)
        self.budgets.append(budget)
        return budget


def _tell_allowance(organisation: Organisation, offset: int) -> Action:
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
    """Lends the fleet-wide budget of a store to the loads of this host's pools.

    Parameters
    ----------
    admission : Admission
    store : str
    """

    def __init__(self, admission: Admission, store: str) -> None:
        self.admission = admission
        self.store = store
        self.wanted_until: float | None = None

    def try_acquire(self, now: float) -> bool:
        """Take the right to start one load, or ask for it.

        Parameters
        ----------
        now : float

        Returns
        -------
        bool
        """
        if self._get(now).try_acquire(now=now):
            return True
        self.wanted_until = now + WANT_HOLD_S
        return False

    def release(self, now: float) -> None:
        """Note that a load has ended, well or badly.

        Parameters
        ----------
        now : float
        """
        self._get(now).release(now=now)

    def report_want(self, *, now: float) -> list[Action]:
        """Ask the store's owner for a load that was refused here.

        Parameters
        ----------
        now : float

        Returns
        -------
        list of Action
        """
        if self.wanted_until is None:
            return []
        is_wanted = now < self.wanted_until
        if not is_wanted:
            self.wanted_until = None
        return self._get(now).set_waiting_loads(int(is_wanted), now=now)

    def _get(self, now: float) -> LoadBudgetShare:
        return self.admission.get_load_budget(self.store, now=now)
