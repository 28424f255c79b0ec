"""Sends orders to targets and reads their reports, outside the control thread."""

import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from functools import singledispatch
from typing import Any

from thornlatch.configuration import Target
from thornlatch.core import Action, Event, Order
from thornlatch.daemon._logs import TimelineWriter
from thornlatch.daemon._settings import TargetSettings
from thornlatch.dispatch import Dispatch, TargetReport, get_pool_key
from thornlatch.exceptions import TargetError
from thornlatch.placement import AdapterVersion, EvictAdapter, LoadAdapter
from thornlatch.targets import evict_adapter, load_adapter, read_report

# A report with an invalid age counts as this old, as it can't be taken for recent.
AGE_LIMIT_S = 3600.0

Submit = Callable[[Callable[[float], list[Action]]], None]


@singledispatch
def send_order(order: Any, target: Target, store: str, timeout_s: float) -> None:
    """Send one order to a target.

    Parameters
    ----------
    order : LoadAdapter or EvictAdapter
    target : Target
    store : str
        Weight store of the target's pool.
    timeout_s : float

    Raises
    ------
    TargetError
        If the target refused the order or didn't answer.
    """
    raise TypeError(f"unknown order {type(order).__name__}")


@send_order.register
def _(order: LoadAdapter, target: Target, store: str, timeout_s: float) -> None:
    model = f"{order.adapter}@{order.version}"
    load_adapter(
        target.address, model, epoch=order.epoch, store=store, timeout_s=timeout_s
    )


@send_order.register
def _(order: EvictAdapter, target: Target, store: str, timeout_s: float) -> None:
    model = f"{order.adapter}@{order.version}"
    evict_adapter(target.address, model, epoch=order.epoch, timeout_s=timeout_s)


class OrderRunner:
    """Sends orders to targets and polls those of the pools that this host owns.

    Parameters
    ----------
    settings : TargetSettings
    dispatch : Dispatch
        Accessed in the control thread only.
    submit : callable
        Runs a command in the control thread.
    timeline : TimelineWriter
    """

    def __init__(
        self,
        settings: TargetSettings,
        *,
        dispatch: Dispatch,
        submit: Submit,
        timeline: TimelineWriter,
    ) -> None:
        self.settings = settings
        self.dispatch = dispatch
        self.submit = submit
        self.timeline = timeline
        self.executor = ThreadPoolExecutor(settings.order_threads, "orders")
        self.polled_at: dict[str, float] = {}
        self.polling: set[str] = set()
        self.incarnations: dict[str, str] = {}

    def send(self, order: Order, *, decided_at: float) -> None:
        """Send an order in another thread and report its result.

        Parameters
        ----------
        order : Order
        decided_at : float
            Time of the decision, from which the order's own deadline counts; an order
            that is late isn't sent.
        """
        target = self.dispatch.targets.get(order.target)
        if target is None:
            return
        self._write_order_event(
            order.order, target, f"{_get_order_name(order.order)}_ordered", {}
        )
        pool = self.dispatch.pools[target.pool]
        self.executor.submit(self._run, order.order, target, pool.store, decided_at)

    def poll_reports(self, now: float) -> list[Action]:
        """Start to read the reports that are due; called by the control thread.

        Parameters
        ----------
        now : float

        Returns
        -------
        list of Action
            Always empty; reports arrive as commands.
        """
        pools = set(self.dispatch.schedulers)
        for target in self.dispatch.targets.values():
            polled_at = self.polled_at.get(target.name, -1e9)
            is_due = now - polled_at >= self.settings.report_every_s
            is_due = is_due or self.dispatch.is_poll_due(target.name, polled_at)
            if target.pool in pools and is_due and target.name not in self.polling:
                self.polled_at[target.name] = now
                self.polling.add(target.name)
                self.executor.submit(self._poll, target)
        return []

    def stop(self) -> None:
        """Send no further orders and read no further reports."""
        self.executor.shutdown(wait=False, cancel_futures=True)

    def _run(self, order: Any, target: Target, store: str, decided_at: float) -> None:
        is_ok, is_certain, error = self._try_send(order, target, store, decided_at)
        detail = {"is_certain": is_certain, "error": error}
        name = f"{_get_order_name(order)}_{'done' if is_ok else 'failed'}"
        self._write_order_event(order, target, name, detail)
        self.submit(
            lambda now: self.dispatch.note_order_result(
                target.name, order, ok=is_ok, is_certain=is_certain, now=now
            )
        )

    def _write_order_event(
        self, order: Any, target: Target, name: str, detail: dict[str, Any]
    ) -> None:
        version = f"{order.adapter}@{order.version}"
        self.timeline.write(
            Event(
                f"placement.{name}",
                target=target.name,
                key=get_pool_key(target.pool),
                epoch=order.epoch,
                detail={"adapter_version": version, **detail},
            )
        )

    def _try_send(
        self, order: Any, target: Target, store: str, decided_at: float
    ) -> tuple[bool, bool, str]:
        if time.monotonic() - decided_at > order.deadline_s:
            return (
                False,
                True,
                f"order not sent within {order.deadline_s} s of its decision",
            )
        try:
            send_order(order, target, store, self.settings.order_timeout_s)
        except TargetError as error:
            return False, not error.is_sent or error.status is not None, error.message
        return True, True, ""

    def _poll(self, target: Target) -> None:
        requested_at = time.monotonic()
        try:
            value = read_report(target.address, timeout_s=self.settings.order_timeout_s)
            report = parse_report(value, requested_at)
        except TargetError as error:
            is_down = not error.is_sent
            self.submit(lambda now: self._note_poll_failure(target.name, is_down, now))
            return
        self.submit(lambda now: self._note_report(target.name, report, now))

    def _note_report(
        self, target: str, report: TargetReport, now: float
    ) -> list[Action]:
        self.polling.discard(target)
        self.incarnations[target] = report.incarnation
        return self.dispatch.note_target_report(target, report, now=now)

    def _note_poll_failure(
        self, target: str, is_down: bool, now: float
    ) -> list[Action]:
        self.polling.discard(target)
        if not is_down:
            return []
        return self.dispatch.mark_target_down(target, now=now)


def parse_report(value: dict[str, Any], requested_at: float) -> TargetReport:
    """Parse and check a target's report.

    Parameters
    ----------
    value : dict
        JSON object as the target sent it.
    requested_at : float
        Time at which the report was requested.

    Returns
    -------
    TargetReport

    Raises
    ------
    TargetError
        If a field has a wrong type or a count is negative.
    """
    loaded = value.get("loaded", [])
    running, waiting = value.get("running", 0), value.get("waiting", 0)
    in_use = value.get("in_use")
    are_lists_valid = _is_string_list(loaded) and (
        in_use is None or _is_string_list(in_use)
    )
    counts = running, waiting
    if not are_lists_valid or not all(isinstance(n, int) and n >= 0 for n in counts):
        raise TargetError(
            "malformed report: loaded and in_use must be lists of names, running and "
            "waiting integers of at least 0",
            is_sent=True,
        )
    reported_age_s = value.get("age_s", 0.0)
    is_age_valid = (
        isinstance(reported_age_s, int | float) and 0 <= reported_age_s <= AGE_LIMIT_S
    )
    age_s = float(reported_age_s) if is_age_valid else AGE_LIMIT_S
    return TargetReport(
        str(value.get("incarnation", "")),
        _parse_versions(loaded),
        running,
        waiting,
        requested_at - age_s,
        _parse_versions(in_use) if in_use is not None else None,
    )


def _is_string_list(value: Any) -> bool:
    return isinstance(value, list) and all(isinstance(name, str) for name in value)


def _parse_versions(names: list[str]) -> tuple[AdapterVersion, ...]:
    parts = (name.rpartition("@") for name in names)
    return tuple(AdapterVersion(adapter, version) for adapter, _, version in parts)


def _get_order_name(order: Any) -> str:
    return "load" if isinstance(order, LoadAdapter) else "evict"
