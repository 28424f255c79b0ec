"""All slices of one host, put together; free of sockets, threads and clock."""

from dataclasses import dataclass, field
from random import Random
from typing import Any

from thornlatch.admission import Admission, AdmissionSettings
from thornlatch.configuration import Configuration, ConfigurationSettings, Store
from thornlatch.core import Action, Slice
from thornlatch.dispatch import Dispatch, DispatchSettings
from thornlatch.leases import LeaseTable
from thornlatch.membership import Membership, MembershipSettings
from thornlatch.placement import LoadBudget, PlacementSettings
from thornlatch.requests import (
    ClaimTable,
    Quarantine,
    QuarantineSettings,
    RequestsSettings,
)


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
    """

    membership: MembershipSettings = field(default_factory=MembershipSettings)
    configuration: ConfigurationSettings = field(default_factory=ConfigurationSettings)
    admission: AdmissionSettings = field(default_factory=AdmissionSettings)
    placement: PlacementSettings = field(default_factory=PlacementSettings)
    dispatch: DispatchSettings = field(default_factory=DispatchSettings)
    requests: RequestsSettings = field(default_factory=RequestsSettings)
    quarantine: QuarantineSettings = field(default_factory=QuarantineSettings)


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
        self.claims = ClaimTable(settings.requests, host=host, leases=self.leases)
        self.quarantine = Quarantine(
            settings.quarantine, host=host, leases=self.leases
        )
        self.slices: tuple[Slice, ...] = (
            self.membership,
            self.configuration,
            self.admission,
            self.dispatch,
            self.claims,
            self.quarantine,
        )
        self.offset_passed_on = -1

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
        allowances = {o.name: (o.rate, o.burst) for o in organisations}
        actions = self.admission.set_allowances(
            allowances, offset=view.offset, now=now
        )
        return actions + self.dispatch.set_inventory(
            view.iter_pools(),
            view.iter_targets(),
            view.find_adapter,
            view.iter_stores(),
            organisations,
            offset=view.offset,
            now=now,
        )

    def _make_budget(self, store: Store) -> LoadBudget:
        return self.admission.get_load_budget(store)
