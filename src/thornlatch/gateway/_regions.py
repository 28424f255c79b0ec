"""Restricts requests to the targets of allowed regions."""

from collections.abc import Mapping

from thornlatch.fleet import Target
from thornlatch.gateway._call import Call
from thornlatch.routing import ConfigurationInForce


class RegionPolicy:
    """Applies the allowed regions of the configuration in force.

    Parameters
    ----------
    regions : mapping of str to str
        Regions by failure domain.
    in_force : ConfigurationInForce
    """

    def __init__(
        self, regions: Mapping[str, str], *, in_force: ConfigurationInForce
    ) -> None:
        self.regions = regions
        self.in_force = in_force

    def get_allowed(self, call: Call) -> frozenset[str] | None:
        """Return the regions to whose targets a request may be sent now.

        Route and organisation are looked up in the configuration in force. What it no
        longer has keeps the restriction under which the request was admitted.

        Parameters
        ----------
        call : Call

        Returns
        -------
        frozenset of str or None
            None for any target, also one without a region. Empty if the regions of
            route and organisation have none in common.
        """
        route, organisation = call.route, call.organisation
        installed = self.in_force.installed
        if installed is not None:
            configuration = installed.configuration
            is_restricted = (
                configuration.restricts_regions
                or route.regions
                or (organisation is not None and organisation.regions)
            )
            if not is_restricted:
                return None
            request = call.request
            route = installed.table.match(request.host, request.path) or route
            if organisation is not None:
                organisation = (
                    configuration.organisations_by_key.get(request.key or "")
                    or configuration.organisations.get(organisation.name)
                    or organisation
                )
        allowed = [route.regions]
        if organisation is not None:
            allowed.append(organisation.regions)
        restrictions = [regions for regions in allowed if regions]
        return frozenset.intersection(*restrictions) if restrictions else None

    def get_region(self, target: Target) -> str | None:
        """Return the region of a target's failure domain.

        Parameters
        ----------
        target : Target

        Returns
        -------
        str or None
            None if the domain isn't listed.
        """
        return self.regions.get(target.failure_domain)

    def is_allowed(self, target: Target, allowed: frozenset[str] | None) -> bool:
        """Return whether a target is in an allowed region.

        Parameters
        ----------
        target : Target
        allowed : frozenset of str or None
            As returned by `get_allowed`.

        Returns
        -------
        bool
        """
        return allowed is None or self.get_region(target) in allowed
