"""Failure domains that operators have evacuated, as read from their records."""

from dataclasses import dataclass, replace

# Operators write their records again within this time after a restore of the store.
REWRITE_S = 4.0


@dataclass(frozen=True)
class Evacuation:
    """An evacuated failure domain.

    Parameters
    ----------
    domain : str
    began_at : float
        Clock time at which this host began to leave out the domain's targets.
    read_at : float
        Start of the read of the store that returned the record.
    ends_at : float
        Clock time at which it ends unless its record is read again; infinite for a
        record that the latest complete read returned.
    """

    domain: str
    began_at: float
    read_at: float
    ends_at: float = float("inf")


@dataclass(frozen=True)
class EvacuationStatus:
    """State of an evacuation as shown to operators.

    Parameters
    ----------
    domain : str
    since_s : float
        Seconds since this host began to leave out the domain's targets.
    read_age_s : float
        Seconds since the start of the latest read of the operators' records.
    ends_in_s : float or None
        Seconds until it ends because its record is missing in a restored store; None
        if the record is there.
    """

    domain: str
    since_s: float
    read_age_s: float
    ends_in_s: float | None = None


@dataclass(frozen=True)
class EvacuationChange:
    """Evacuations that began and ended with a record, a complete read or with time.

    Parameters
    ----------
    began, ended : tuple of Evacuation
    """

    began: tuple[Evacuation, ...] = ()
    ended: tuple[Evacuation, ...] = ()


class EvacuationTable:
    """Evacuations in force, by failure domain.

    Callers serialise the changes; other threads may read `evacuations`, which is
    replaced and never modified.
    """

    def __init__(self) -> None:
        self.evacuations: dict[str, Evacuation] = {}
        self.confirmed_at = float("-inf")

    @property
    def domains(self) -> frozenset[str]:
        """Names of the evacuated failure domains."""
        return frozenset(self.evacuations)

    def begin(self, domain: str, *, read_at: float, now: float) -> EvacuationChange:
        """Apply the record of an evacuation.

        Parameters
        ----------
        domain : str
        read_at : float
            Start of the read that returned the record.
        now : float

        Returns
        -------
        EvacuationChange
            Empty if the domain is evacuated already.
        """
        known = self.evacuations.get(domain)
        if known is not None:
            if known.ends_at != float("inf"):
                # The operator has written it again after a restore.
                renewed = replace(known, ends_at=float("inf"))
                self.evacuations = {**self.evacuations, domain: renewed}
            return EvacuationChange()
        evacuation = Evacuation(domain, now, read_at)
        self.evacuations = {**self.evacuations, domain: evacuation}
        return EvacuationChange(began=(evacuation,))

    def end(self, domain: str) -> EvacuationChange:
        """Apply the deletion of an evacuation's record.

        Parameters
        ----------
        domain : str

        Returns
        -------
        EvacuationChange
        """
        return self._remove({domain})

    def replace_all(
        self, domains: frozenset[str], *, read_at: float, now: float
    ) -> EvacuationChange:
        """Apply a complete read of the operators' records.

        A known evacuation that is missing ends after `REWRITE_S`, since the store may
        have been restored from a copy that lacks it. Complete reads happen only at the
        start, after a restore and after the store has discarded unread records.

        Parameters
        ----------
        domains : frozenset of str
        read_at : float
            Start of the read.
        now : float

        Returns
        -------
        EvacuationChange
        """
        began = tuple(
            change
            for domain in sorted(domains)
            for change in self.begin(domain, read_at=read_at, now=now).began
        )
        self.evacuations = {
            domain: evacuation
            if domain in domains
            else replace(evacuation, ends_at=now + REWRITE_S)
            for domain, evacuation in self.evacuations.items()
        }
        return EvacuationChange(began=began)

    def expire(self, *, now: float) -> EvacuationChange:
        """End the evacuations whose records weren't written again in time.

        Parameters
        ----------
        now : float

        Returns
        -------
        EvacuationChange
        """
        if not self.evacuations:
            return EvacuationChange()
        return self._remove(
            {
                evacuation.domain
                for evacuation in self.evacuations.values()
                if now >= evacuation.ends_at
            }
        )

    def confirm(self, *, read_at: float) -> None:
        """Record that all records published up to a time have been applied.

        Parameters
        ----------
        read_at : float
            Start of the read.
        """
        self.confirmed_at = max(self.confirmed_at, read_at)

    def list_status(self, *, now: float) -> tuple[EvacuationStatus, ...]:
        """Return the evacuations in force, for operators.

        Parameters
        ----------
        now : float

        Returns
        -------
        tuple of EvacuationStatus
            In order of the domains' names.
        """
        evacuations = self.evacuations
        return tuple(
            EvacuationStatus(
                domain,
                now - evacuation.began_at,
                now - max(evacuation.read_at, self.confirmed_at),
                evacuation.ends_at - now
                if evacuation.ends_at != float("inf")
                else None,
            )
            for domain, evacuation in sorted(evacuations.items())
        )

    def _remove(self, domains: set[str]) -> EvacuationChange:
        ended = tuple(
            evacuation
            for domain, evacuation in self.evacuations.items()
            if domain in domains
        )
        if ended:
            self.evacuations = {
                domain: evacuation
                for domain, evacuation in self.evacuations.items()
                if domain not in domains
            }
        return EvacuationChange(ended=ended)
