"""Software versions at which streams began, also known after all hosts were lost.

Streams of two versions can't be joined, and a caller that resumes one may reach any
host. The store has one default version for each service. A stream that begins at
another one is recorded there before its first event is passed on, so one without a
record began at the default version. A host whose records the store doesn't take begins
streams only where none is needed. The default changes only once no target has run it
for longer than streams last.
"""

import threading
from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Annotated, Protocol

import logbook
import msgspec
from msgspec import Meta

from thornlatch.core import read_clock
from thornlatch.exceptions import ErrorKind, ThornlatchError

logger = logbook.Logger("thornlatch.gateway")

PARTITIONS = 4  # of the topic; one takes about 500 appends a second
DEFAULT_PARTITION = 0
DEFAULT_PREFIX = "default/"
RETRY_S, RETRY_LIMIT_S = 0.25, 1.0  # after failed calls of the store; doubles
IDLE_WAIT_S = 5.0
DEFAULT_POLL_S = 2.0  # while a service has no default
DEFAULT_AGE_LIMIT_S = 10.0  # of a host that records streams
MANAGE_PERIOD_S = 1.0
# After the store has failed, in which hosts append the records that it didn't take.
STORE_SETTLING_S = 2.5
FAILURE_LIMIT = 3  # calls that fail in a row until requests don't wait for the store
# Time between two reads of the registered targets in which a version could come, begin
# streams through other hosts and leave, without being noticed here.
TARGETS_GAP_LIMIT_S = 3.0
TARGETS_WAIT_S = 0.8  # for the next read; they begin every 0.6 s
EXPIRY_MEMORIES = 3  # after which a host's record is certainly not needed

KeyedValues = list[tuple[str, bytes | None]]


@dataclass(frozen=True)
class StreamVersionSettings:
    """Times of the records of streams' software versions.

    Parameters
    ----------
    memory_s : float
        Seconds for which a stream's version is known; longer than callers resume it.
    slot_s : float
        Seconds of streams that one record of a host holds.
    record_s : float
        Seconds after which the store counts as not taking a record.
    lookup_s : float
        Longest time in seconds that a resumed stream waits for a read of the store.
    return_s : float
        Seconds within which crashed targets of a version may be back.
    """

    memory_s: Annotated[float, Meta(gt=0)] = 40.0
    slot_s: Annotated[float, Meta(gt=0)] = 2.0
    record_s: Annotated[float, Meta(gt=0)] = 0.4
    lookup_s: Annotated[float, Meta(gt=0)] = 1.5
    return_s: Annotated[float, Meta(gt=0)] = 10.0

    @property
    def default_age_limit_s(self) -> float:
        """Age in seconds from which on a list of targets says nothing of defaults.

        A default changes `memory_s` after its last target has left.
        """
        return self.memory_s - self.return_s


class RecordsRefused(ThornlatchError):
    """Raised when the store hasn't appended records and certainly never will."""

    kind = ErrorKind.PLATFORM_FAILED


class StreamRecordStore(Protocol):
    """Keyed topic of the platform's store that holds the records.

    Its methods raise `ThornlatchError` if the store doesn't carry them out, or may
    carry them out later; `append` raises `RecordsRefused` if it certainly won't.
    """

    def read(self, partition: int) -> KeyedValues:
        """Return keys and values that changed since the previous read, or all."""

    def append(self, partition: int, number: int, records: KeyedValues) -> None:
        """Append records once, also if called again with the same number.

        Numbers follow each other.
        """

    def append_if_unchanged(self, partition: int, records: KeyedValues) -> bool:
        """Append records unless the partition has changed since it was read."""


class _StreamRecord(msgspec.Struct):
    """Streams that began in one slot of a host; later numbers replace earlier ones."""

    number: int
    # Id of the request and software version; the last of several of a request counts.
    streams: list[tuple[str, str]]


@dataclass
class _OwnStream:
    version: str
    began_at: float
    # Number of its record; 0 if it needs none.
    number: int = 0
    # Whether that record was sent to the store, and whether an earlier one was.
    is_submitted: bool = False
    was_submitted: bool = False


@dataclass
class _Service:
    # When targets of each version were last registered.
    seen_at: dict[str, float] = field(default_factory=dict)
    default: str | None = None
    # Whether the default was read since the latest new version appeared.
    is_confirmed: bool = False


class StreamVersions:
    """Records at which software versions streams begin, and finds it out again.

    Request threads use it; one thread calls the store.

    Parameters
    ----------
    settings : StreamVersionSettings
    host : str
        Id of this host, which changes with a restart.
    partition : int
        Partition of this host's records.
    list_versions : callable
        Returns the software versions of a service's registered targets, one each.
    is_manager : callable
        Returns whether this host sets the defaults of services.
    get_store_failed_at : callable
        Returns when a call of the store last failed, for any purpose.
    """

    def __init__(
        self,
        settings: StreamVersionSettings,
        *,
        host: str,
        partition: int,
        list_versions: Callable[[str], Iterable[str]],
        is_manager: Callable[[], bool],
        get_store_failed_at: Callable[[], float] = lambda: float("-inf"),
    ) -> None:
        self.settings = settings
        self.host = host
        self.partition = partition
        self.list_versions = list_versions
        self.is_manager = is_manager
        self.get_store_failed_at = get_store_failed_at
        self.failed_at = float("-inf")
        self.started_at = read_clock()
        # As of when the registered targets were read, and since when without a gap.
        self.targets_read_at = float("-inf")
        self.targets_known_since = float("inf")
        # Guards all that follows.
        self.changed = threading.Condition()
        self.services: dict[str, _Service] = {}
        self.own: dict[str, _OwnStream] = {}
        # By request: number of the record, version and when it was read.
        self.recorded: dict[str, tuple[int, str, float]] = {}
        self.pending: list[tuple[str, str]] = []
        # Since when a stream has waited for its record.
        self.pending_since: float | None = None
        self.slot = -1
        self.slot_streams: list[tuple[str, str]] = []
        # The record that is being appended, and the streams that it adds. Once it may
        # have been appended, it is repeated unchanged until it certainly is.
        self.unwritten: tuple[str, bytes] | None = None
        self.unwritten_streams: list[tuple[str, str]] = []
        self.is_unwritten_fixed = False
        self.number = 0
        self.written_number = 0
        self.reads_requested = 0
        self.reads_completed = 0
        # Number of times that a new version appeared, now and as of the latest read.
        self.new_versions = 0
        self.new_versions_read = -1
        # Partition of each key and when its record was read.
        self.keys: dict[str, tuple[int, float]] = {}
        self.defaults_read_at = float("-inf")
        self.defaults_due = False
        self.must_rewrite = False
        self.failures = 0
        self.managed_at = float("-inf")
        self.is_stopped = False

    def note_sent(
        self, request: str, service: str, version: str, *, resumes: str = "", now: float
    ) -> None:
        """Record that a stream is about to begin or go on at a target.

        Parameters
        ----------
        request, service : str
        version : str
            Software version of the target.
        resumes : str
            Id of the request that the stream's first event answered; empty if it is
            about to begin.
        now : float
        """
        with self.changed:
            self._forget(now)
            state = self._observe(service, now)
            self._require_default(state, now)
            if resumes:
                # Callers name the first request, whose record is known.
                self.own.setdefault(resumes, _OwnStream(version, now))
                return
            self._withdraw(request)
            known = self.own.get(request)
            if known is not None and known.number > 0 and known.version == version:
                return
            stream = self.own[request] = _OwnStream(version, now)
            if known is not None:
                stream.was_submitted = known.is_submitted or known.was_submitted
            is_default = state.is_confirmed and state.default == version
            if is_default and not stream.was_submitted:
                return
            self.pending.append((request, version))
            if self.pending_since is None:
                self.pending_since = now
            # Written with the next append, together with others that wait for it.
            stream.number = self.number + 1
            self.changed.notify_all()

    def wait_recorded(self, request: str, *, timeout_s: float) -> bool:
        """Wait until a stream's version will outlive this host.

        Parameters
        ----------
        request : str
        timeout_s : float

        Returns
        -------
        bool
            False if the store hasn't taken the record by then.
        """
        with self.changed:
            stream = self.own.get(request)
            return stream is None or self.changed.wait_for(
                lambda: self.written_number >= stream.number, timeout_s
            )

    def may_begin_unrecorded(self, request: str, service: str) -> bool:
        """Return whether a stream may begin though its record may not be in the store.

        Parameters
        ----------
        request, service : str

        Returns
        -------
        bool
            False if a later look-up could return another version that targets run.
        """
        now = read_clock()
        with self.changed:
            stream = self.own.get(request)
            if stream is None:
                return True
            if stream.was_submitted:
                # A look-up may find an earlier record, which names another version.
                return False
            state = self._observe(service, now)
            return self._needs_no_record(state, stream.version, now)

    def list_beginnable(self, service: str) -> frozenset[str] | None:
        """Return the versions at which streams may begin now.

        Load pattern: the store turns this host away while targets of several versions
        serve, and the host may be lost before the store takes its records.

        Parameters
        ----------
        service : str

        Returns
        -------
        frozenset of str or None
            None for any version; otherwise those that need no record, since the store
            doesn't take any.
        """
        if self.takes_records():
            return None
        now = read_clock()
        with self.changed:
            state = self._observe(service, now)
            return frozenset(
                version
                for version in state.seen_at
                if self._needs_no_record(state, version, now)
            )

    def may_withdraw(self, request: str) -> bool:
        """Return whether the store certainly doesn't have a stream's record.

        Parameters
        ----------
        request : str

        Returns
        -------
        bool
        """
        with self.changed:
            stream = self.own.get(request)
            return stream is None or not _may_be_in_store(stream)

    def withdraw(self, request: str) -> bool:
        """Withdraw the record of a stream that didn't begin, as if it had none.

        Parameters
        ----------
        request : str

        Returns
        -------
        bool
            False if the store may have it.
        """
        with self.changed:
            return self._withdraw(request)

    def takes_records(self) -> bool:
        """Return whether the store has taken this host's latest records in time."""
        since = self.pending_since
        is_waiting = since is not None and read_clock() - since > self.settings.record_s
        return not (self.failures or is_waiting)

    def _withdraw(self, request: str) -> bool:
        stream = self.own.get(request)
        if stream is None:
            return True
        if _may_be_in_store(stream):
            return False
        del self.own[request]
        self.pending = [entry for entry in self.pending if entry[0] != request]
        if not self.pending and self.unwritten is None:
            self.pending_since = None
        return True

    def _needs_no_record(self, state: _Service, version: str, now: float) -> bool:
        """Return whether a stream of a version is safe without a record.

        A look-up without a record returns the default. That is right if the stream
        began at it, and does no harm if no target runs it, as the take-up is refused.
        """
        if now - self.targets_read_at >= self.settings.default_age_limit_s:
            # The default may have changed, or other versions may have come.
            return False
        if state.is_confirmed and state.default == version:
            return True
        others = {state.default} if state.is_confirmed else state.seen_at.keys()
        return not any(
            other != version
            and now - state.seen_at.get(other or "", float("-inf"))
            < self.settings.return_s
            for other in others
        )

    def find(self, request: str, service: str) -> str | None:
        """Return the version at which a stream began.

        Parameters
        ----------
        request : str
            Id of the request that the stream's first event answered; empty if unknown.
        service : str

        Returns
        -------
        str or None
            None if it can't be told.
        """
        now = read_clock()
        with self.changed:
            state = self._observe(service, now)
            stream = self.own.get(request)
            if stream is not None:
                return stream.version
            if not request:
                return self._find_sole_version(service, since=now)
            # Also if a record is known: a later one may name the target that began it.
            self.reads_requested += 1
            ticket = self.reads_requested
            self.changed.notify_all()
            self.changed.wait_for(
                lambda: self.reads_completed >= ticket or self.is_failing,
                self.settings.lookup_s,
            )
            if request in self.recorded:
                return self.recorded[request][1]
            now = read_clock()
            failed_at = max(self.failed_at, self.get_store_failed_at())
            is_complete = self.reads_completed >= ticket
            is_complete = is_complete and now - failed_at >= STORE_SETTLING_S
            if is_complete and state.default is not None:
                return state.default
            return self._find_sole_version(service, since=now)

    def _find_sole_version(self, service: str, *, since: float) -> str | None:
        """Return the version that all targets have run for longer than streams last.

        The targets must have been read without a gap all the while, and again since a
        time: streams may have begun through other hosts at targets not known here.
        """
        if since - self.targets_read_at >= TARGETS_GAP_LIMIT_S:
            return None
        self.changed.wait_for(lambda: self.targets_read_at >= since, TARGETS_WAIT_S)
        now = read_clock()
        state = self._observe(service, now)
        if (
            self.targets_read_at < since
            or now - self.targets_known_since < self.settings.memory_s
            or len(state.seen_at) != 1
        ):
            return None
        return next(iter(state.seen_at))

    def note_targets_read(self, read_started_at: float) -> None:
        """Record that all registrations published up to a time have been applied.

        Parameters
        ----------
        read_started_at : float
            Also of a read of another host that read for this one.
        """
        with self.changed:
            gap_s = read_started_at - self.targets_read_at
            if gap_s >= TARGETS_GAP_LIMIT_S:
                self.targets_known_since = read_started_at
            if gap_s >= self.settings.default_age_limit_s:
                # Defaults may have changed while their targets were away.
                for state in self.services.values():
                    state.is_confirmed = False
            self.targets_read_at = max(self.targets_read_at, read_started_at)
            self.changed.notify_all()

    def _observe(self, service: str, now: float) -> _Service:
        """Update the versions that a service's targets run."""
        settings = self.settings
        state = self.services.setdefault(service, _Service())
        for version in self.list_versions(service):
            away_s = now - state.seen_at.get(version, float("-inf"))
            is_default = version == state.default
            # A default may have changed while no target ran it. The host that changes
            # it may have noticed earlier that the last one left.
            limit_s = settings.default_age_limit_s if is_default else settings.memory_s
            if away_s >= limit_s:
                self.new_versions += 1
                state.is_confirmed = state.is_confirmed and not is_default
            state.seen_at[version] = now
        for version in list(state.seen_at):
            if now - state.seen_at[version] >= settings.memory_s:
                del state.seen_at[version]
        return state

    def _require_default(self, state: _Service, now: float) -> None:
        """Have the default of a service read unless it is known."""
        if state.is_confirmed:
            return
        is_poll_due = now - self.defaults_read_at >= DEFAULT_POLL_S
        if is_poll_due or self.new_versions_read != self.new_versions:
            self.defaults_due = True
            self.changed.notify_all()

    def _forget(self, now: float) -> None:
        """Forget streams that have ended long ago, the oldest first."""
        limit = now - self.settings.memory_s
        for request in list(self.own):
            if self.own[request].began_at > limit:
                break
            del self.own[request]

    def note_restored(self) -> None:
        """Write this host's records again, as the store was restored from a copy."""
        with self.changed:
            self.must_rewrite = True
            self.changed.notify_all()

    def tick(self, services: Iterable[str], *, now: float) -> None:
        """Observe the services with streams; have their defaults set if need be.

        Parameters
        ----------
        services : iterable of str
        now : float
        """
        if now - self.managed_at < MANAGE_PERIOD_S:
            return
        self.managed_at = now
        with self.changed:
            states = [self._observe(service, now) for service in services]
            if not self.is_manager():
                # The others read the defaults once they have streams, or may need to
                # know which of several versions is safe without the store.
                for state in states:
                    if len(state.seen_at) > 1:
                        self._require_default(state, now)
                return
            for state in states:
                if state.default not in state.seen_at:
                    state.is_confirmed = False
                self._require_default(state, now)

    def stop(self) -> None:
        """End `run`."""
        with self.changed:
            self.is_stopped = True
            self.changed.notify_all()

    def run(self, store: StreamRecordStore) -> None:
        """Call the store for the request threads until `stop` is called.

        Parameters
        ----------
        store : StreamRecordStore
        """
        while not self.is_stopped:
            with self.changed:
                self.changed.wait_for(self._has_work, IDLE_WAIT_S)
            try:
                self._write(store)
                self._read(store)
            except ThornlatchError as error:
                self._note_failure(error)
                pause_s = min(RETRY_S * 2 ** (self.failures - 1), RETRY_LIMIT_S)
                with self.changed:
                    self.changed.wait_for(lambda: self.is_stopped, pause_s)
            else:
                self._note_success()

    @property
    def is_failing(self) -> bool:
        """Whether the store hasn't answered for some time."""
        return self.failures >= FAILURE_LIMIT

    def _has_work(self) -> bool:
        return (
            self.is_stopped
            or bool(self.pending)
            or self.unwritten is not None
            or self.reads_requested > self.reads_completed
            or self.defaults_due
            or self.must_rewrite
        )

    def _note_failure(self, error: ThornlatchError) -> None:
        with self.changed:
            self.failures += 1
            self.failed_at = read_clock()
            # Without other work, a read finds out when the store answers again.
            self.defaults_due = True
            if self.failures == 1:
                logger.warning("streams.store_failed", extra={"error": error.message})
            self.changed.notify_all()

    def _note_success(self) -> None:
        if self.failures:
            logger.info("streams.store_regained", extra={"failures": self.failures})
        self.failures = 0

    def _write(self, store: StreamRecordStore) -> None:
        with self.changed:
            if self.unwritten is None:
                self.unwritten = self._build_record(read_clock())
            if self.unwritten is None:
                return
            number = self.number
        try:
            store.append(self.partition, number, [self.unwritten])
        except RecordsRefused:
            with self.changed:
                if not self.is_unwritten_fixed:
                    self._take_back()
            raise
        except ThornlatchError:
            self.is_unwritten_fixed = True
            raise
        with self.changed:
            self.unwritten = None
            self.is_unwritten_fixed = False
            self.written_number = number
            self.pending_since = read_clock() if self.pending else None
            self.changed.notify_all()

    def _take_back(self) -> None:
        """Make the streams of a record that was refused pending again."""
        count = len(self.unwritten_streams)
        del self.slot_streams[len(self.slot_streams) - count :]
        self.pending = self.unwritten_streams + self.pending
        self.unwritten, self.unwritten_streams = None, []
        self.number -= 1
        for request, _ in self.pending:
            stream = self.own.get(request)
            if stream is not None:
                stream.number, stream.is_submitted = self.number + 1, False

    def _build_record(self, now: float) -> tuple[str, bytes] | None:
        """Return key and value of the record of pending streams; None without any."""
        if self.must_rewrite:
            self.must_rewrite = False
            self.pending = []
            for request, stream in self.own.items():
                if stream.number:
                    stream.was_submitted = stream.is_submitted or stream.was_submitted
                    self.pending.append((request, stream.version))
        if not self.pending:
            return None
        slot = int(now / self.settings.slot_s)
        if slot != self.slot:
            self.slot, self.slot_streams = slot, []
        for request, _ in self.pending:
            if request in self.own:
                self.own[request].is_submitted = True
        self.slot_streams += self.pending
        self.unwritten_streams, self.pending = self.pending, []
        self.number += 1
        if now - self.defaults_read_at >= DEFAULT_AGE_LIMIT_S:
            # The default may be the version of these streams by now.
            self.defaults_due = True
        slots = int(self.settings.memory_s / self.settings.slot_s) + 1
        record = _StreamRecord(self.number, self.slot_streams)
        return f"{self.host}/{slot % slots}", msgspec.json.encode(record)

    def _read(self, store: StreamRecordStore) -> None:
        with self.changed:
            ticket = self.reads_requested
            is_lookup = ticket > self.reads_completed
            if not (is_lookup or self.defaults_due):
                return
            self.defaults_due = False
            new_versions = self.new_versions
        try:
            partitions = range(PARTITIONS) if is_lookup else (DEFAULT_PARTITION,)
            for partition in partitions:
                self._apply(partition, store.read(partition))
        except ThornlatchError:
            self.defaults_due = True
            raise
        with self.changed:
            self.reads_completed = max(self.reads_completed, ticket)
            self.defaults_read_at = read_clock()
            self.new_versions_read = new_versions
            if new_versions == self.new_versions:
                for state in self.services.values():
                    state.is_confirmed = state.default is not None
            self.changed.notify_all()
        if self.is_manager():
            self._set_defaults(store)
            self._delete_expired(store)

    def _apply(self, partition: int, records: KeyedValues) -> None:
        now = read_clock()
        limit = now - self.settings.memory_s
        with self.changed:
            for request in list(self.recorded):
                if self.recorded[request][2] > limit:
                    break
                del self.recorded[request]
            for key, value in records:
                if value is None:
                    self.keys.pop(key, None)
                elif key.startswith(DEFAULT_PREFIX):
                    service = key.removeprefix(DEFAULT_PREFIX)
                    state = self.services.setdefault(service, _Service())
                    state.default = value.decode("utf-8", "replace")
                else:
                    self.keys[key] = (partition, now)
                    self._apply_streams(key, value, now)

    def _apply_streams(self, key: str, value: bytes, now: float) -> None:
        try:
            record = msgspec.json.decode(value, type=_StreamRecord)
        except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
            logger.warning(
                "streams.record_unreadable", extra={"key": key, "error": str(error)}
            )
            return
        for request, version in record.streams:
            known = self.recorded.get(request)
            if known is None or known[0] <= record.number:
                self.recorded[request] = (record.number, version, now)

    def _set_defaults(self, store: StreamRecordStore) -> None:
        """Set the defaults of services without one, or whose default nobody runs."""
        with self.changed:
            changes = {
                service: self._choose_default(service)
                for service, state in self.services.items()
                if state.default is None or not self._is_default_in_use(state)
            }
        records: KeyedValues = [
            (DEFAULT_PREFIX + service, version.encode())
            for service, version in changes.items()
            if version
        ]
        if not records:
            return
        # Read again, whether this host set them or another one did meanwhile.
        self.defaults_due = True
        if store.append_if_unchanged(DEFAULT_PARTITION, records):
            logger.info("streams.default_set", extra={"versions": changes})

    def _delete_expired(self, store: StreamRecordStore) -> None:
        """Delete records that haven't changed for long, of any host."""
        limit = read_clock() - EXPIRY_MEMORIES * self.settings.memory_s
        for partition in range(PARTITIONS):
            expired = [
                key
                for key, (part, read_at) in self.keys.items()
                if part == partition and read_at < limit
            ]
            if expired and store.append_if_unchanged(
                partition, [(key, None) for key in expired]
            ):
                for key in expired:
                    del self.keys[key]

    def _is_default_in_use(self, state: _Service) -> bool:
        if state.default in state.seen_at:
            return True
        return read_clock() - self.started_at < self.settings.memory_s

    def _choose_default(self, service: str) -> str:
        counts = Counter(self.list_versions(service))
        return max(sorted(counts), key=lambda version: counts[version], default="")


def _may_be_in_store(stream: _OwnStream) -> bool:
    return stream.number > 0 and (stream.is_submitted or stream.was_submitted)
