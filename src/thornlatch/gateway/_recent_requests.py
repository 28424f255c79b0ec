"""Requests that a host served lately, so that their routing can be explained."""

import sys
import threading
from collections import OrderedDict
from dataclasses import dataclass, field, replace

from thornlatch.gateway._explanation_settings import ExplanationSettings
from thornlatch.gateway._ports import CallerRequest
from thornlatch.gateway._where_query import MAX_DEADLINE_S, WhereQuery
from thornlatch.routing import Configuration

# Of the objects of an entry without its texts, and of its place in the table.
ENTRY_BYTES = 700
PART_BYTES = 120  # of the objects of a prompt's part without its text


@dataclass(frozen=True, slots=True)
class RecentRequest:
    """What is kept of a request: neither its key nor its body.

    Parameters
    ----------
    query : WhereQuery
    fingerprint : str
        Digest that is equal for all repetitions of the request.
    """

    query: WhereQuery
    fingerprint: str = field(repr=False)


class RecentRequests:
    """The latest requests of a host, within a bound of memory; thread-safe.

    Parameters
    ----------
    settings : ExplanationSettings
    """

    def __init__(self, settings: ExplanationSettings) -> None:
        self.settings = settings
        self.lock = threading.Lock()
        self.by_id: OrderedDict[str, RecentRequest] = OrderedDict()
        self.used_bytes = 0

    def add(self, request: CallerRequest, configuration: Configuration | None) -> None:
        """Keep a request that arrived.

        Parameters
        ----------
        request : CallerRequest
        configuration : Configuration or None
            Names the organisation that the request's key belongs to.
        """
        limit_bytes = self.settings.recent_limit_bytes
        if not limit_bytes:
            return
        organisation = None
        if configuration is not None:
            organisation = configuration.organisations_by_key.get(request.key or "")
        query = WhereQuery(
            request.host,
            request.path,
            organisation.name if organisation is not None else "",
            request.adapter or request.model,
            request.prompt_tokens,
            request.output_tokens,
            request.prompt_parts,
            _limit_deadline(request.deadline_s),
            # By which the request's service is chosen.
            request.resumes or request.id,
            is_resumed=bool(request.last_event),
        )
        entry = RecentRequest(query, request.fingerprint)
        entry_bytes = _count_bytes(request.id, entry)
        with self.lock:
            self._drop(request.id)
            if entry_bytes > limit_bytes:
                return
            self.by_id[request.id] = entry
            self.used_bytes += entry_bytes
            while self.used_bytes > limit_bytes:
                self._drop(next(iter(self.by_id)))

    def note_version(self, request: str, version: str | None) -> None:
        """Keep the software version that began the stream that a request resumes.

        Parameters
        ----------
        request : str
        version : str or None
        """
        with self.lock:
            entry = self.by_id.get(request)
            if entry is None:
                return
            self.used_bytes -= _count_bytes(request, entry)
            query = replace(entry.query, software_version=version)
            entry = self.by_id[request] = replace(entry, query=query)
            self.used_bytes += _count_bytes(request, entry)

    def get(self, request: str) -> RecentRequest | None:
        """Return what is kept of a request.

        Parameters
        ----------
        request : str
            Its id.

        Returns
        -------
        RecentRequest or None
        """
        with self.lock:
            return self.by_id.get(request)

    def _drop(self, request: str) -> None:
        entry = self.by_id.pop(request, None)
        if entry is not None:
            self.used_bytes -= _count_bytes(request, entry)


def _limit_deadline(deadline_s: float | None) -> float | None:
    """Return a deadline with which other hosts can be asked about the request."""
    return None if deadline_s is None else min(deadline_s, MAX_DEADLINE_S)


def _count_bytes(request: str, entry: RecentRequest) -> int:
    """Return the bytes of an entry, rounded up; texts may be shared with others."""
    query = entry.query
    texts = (
        request,
        entry.fingerprint,
        query.host,
        query.path,
        query.organisation,
        query.model,
        query.id,
        query.software_version or "",
        *(part for part, _ in query.prompt_parts),
    )
    return (
        ENTRY_BYTES
        + PART_BYTES * len(query.prompt_parts)
        + sum(sys.getsizeof(text) for text in texts)
    )
