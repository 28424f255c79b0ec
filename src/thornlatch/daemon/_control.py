"""The control thread, the only one that changes the state of the slices."""

import contextlib
import queue
import socket
import time
from collections.abc import Callable
from concurrent.futures import Future
from typing import Any, Protocol

import logbook
import zmq

from thornlatch.core import (
    Action,
    Append,
    Emit,
    Envelope,
    Event,
    Order,
    Resolve,
    Send,
    Slice,
)
from thornlatch.daemon._logs import TimelineWriter
from thornlatch.daemon._schedule import TickSchedule
from thornlatch.exceptions import ErrorKind, RequestRefused
from thornlatch.mesh import PeerMesh

logger = logbook.Logger("thornlatch.control")

INBOX_BATCH = 500
Command = Callable[[float], list[Action]]


class OrderSender(Protocol):
    """Sends orders to targets."""

    def send(self, order: Order, *, decided_at: float) -> None:
        """Send an order in another thread and report its result."""


class RecordAppender(Protocol):
    """Appends records to the log."""

    def append(self, stream: str, record: Any) -> None:
        """Queue a record to be appended to a stream."""


class ControlLoop:
    """Delivers messages, commands and ticks to the slices and executes their actions.

    Parameters
    ----------
    host : str
        This host's id.
    slices : tuple of Slice
        Called in this order.
    peers : PeerMesh
    appender : RecordAppender
    timeline : TimelineWriter
    """

    def __init__(
        self,
        *,
        host: str,
        slices: tuple[Slice, ...],
        peers: PeerMesh,
        appender: RecordAppender,
        timeline: TimelineWriter,
    ) -> None:
        self.host = host
        self.slices = slices
        self.schedule = TickSchedule(slices, now=time.monotonic())
        self.peers = peers
        self.appender = appender
        self.timeline = timeline
        self.orders: OrderSender | None = None
        self.on_tick: list[Command] = []
        self.inbox: queue.SimpleQueue[Command] = queue.SimpleQueue()
        self.pending: dict[str, Future[Any]] = {}
        self.local_messages: queue.SimpleQueue[Envelope] = queue.SimpleQueue()
        self.is_stopping = False
        self.busy_s = 0.0
        self.wake_receiver, self.wake_sender = socket.socketpair()
        self.wake_receiver.setblocking(False)
        self.wake_sender.setblocking(False)

    def submit(self, command: Command) -> None:
        """Run a command in the control thread.

        Parameters
        ----------
        command : callable
            Takes `now` and returns actions.
        """
        self.inbox.put(command)
        try:
            self.wake_sender.send(b"\0")
        except BlockingIOError:
            return

    def request_decision(
        self, ticket: str, build: Callable[[str, float], list[Action]]
    ) -> "Future[Any]":
        """Run a command whose decision arrives as a `Resolve` action.

        Parameters
        ----------
        ticket : str
            Unique within the process.
        build : callable
            Takes ticket and `now` and returns actions.

        Returns
        -------
        Future
            Its result is the decision; a refusal is set as its exception.
        """
        future: Future[Any] = Future()

        def begin(now: float) -> list[Action]:
            self.pending[ticket] = future
            try:
                return build(ticket, now)
            except Exception as error:
                self.pending.pop(ticket, None)
                future.set_exception(error)
                return []

        self.submit(begin)
        return future

    def cancel_decision(
        self,
        ticket: str,
        cancel: Callable[[float], list[Action]],
        undo: Callable[[Any, float], list[Action]],
        future: "Future[Any]",
    ) -> None:
        """Stop waiting for a decision; one made in the meantime is undone.

        Parameters
        ----------
        ticket : str
        cancel : callable
            Takes `now`; called if the decision is still pending.
        undo : callable
            Takes the decision and `now`; called unless it is a refusal.
        future : Future
        """

        def cancel_or_undo(now: float) -> list[Action]:
            if self.pending.pop(ticket, None) is not None:
                return cancel(now)
            is_granted = future.done() and future.exception() is None
            return undo(future.result(), now) if is_granted else []

        self.submit(cancel_or_undo)

    def run(self) -> None:
        """Run until stopped."""
        poller = zmq.Poller()
        poller.register(self.peers.router, zmq.POLLIN)
        poller.register(self.wake_receiver.fileno(), zmq.POLLIN)
        while not self.is_stopping:
            now = time.monotonic()
            timeout_s = max(0.0, self.schedule.get_next(now=now) - now)
            ready = dict(poller.poll(int(timeout_s * 1000) + 1))
            cpu_start_s = time.thread_time()
            if self.peers.router in ready:
                self._handle_messages()
            if self.wake_receiver.fileno() in ready:
                self._run_commands()
            self._tick()
            self._handle_local_messages()
            self.busy_s += time.thread_time() - cpu_start_s
        self.peers.close()

    def replace_slices(self, host: str, slices: tuple[Slice, ...]) -> None:
        """Switch to the slices of a new session; called by the control thread.

        Decisions that are pending fail as `ErrorKind.HOST_UNCONFIRMED`.

        Parameters
        ----------
        host : str
            Id of the new session.
        slices : tuple of Slice
        """
        self.host = host
        self.slices = slices
        self.schedule = TickSchedule(slices, now=time.monotonic())
        for future in self.pending.values():
            if not future.done():
                future.set_exception(
                    RequestRefused(
                        ErrorKind.HOST_UNCONFIRMED,
                        "this host's session has ended",
                        retry_after_s=1.0,
                    )
                )
        self.pending.clear()

    def stop(self) -> None:
        """End the loop after the current iteration."""
        self.is_stopping = True
        self.submit(lambda now: [])

    def _handle_messages(self) -> None:
        for envelope in self.peers.iter_received():
            self._deliver(envelope)

    def _handle_local_messages(self) -> None:
        while not self.local_messages.empty():
            self._deliver(self.local_messages.get_nowait())

    def _deliver(self, envelope: Envelope) -> None:
        for slice_ in self.schedule.iter_handlers(type(envelope.message)):
            try:
                actions = slice_.handle(
                    envelope.message, sender=envelope.sender, now=time.monotonic()
                )
            except Exception:
                self._report_failure(type(envelope.message).__name__)
                continue
            self._execute(actions)

    def _run_commands(self) -> None:
        with contextlib.suppress(BlockingIOError):
            self.wake_receiver.recv(4096)
        for _ in range(INBOX_BATCH):
            try:
                command = self.inbox.get_nowait()
            except queue.Empty:
                return
            self.schedule.note_inputs()
            self._run_command(command)
        self.submit(lambda now: [])

    def _run_command(self, command: Command) -> None:
        try:
            actions = command(time.monotonic())
        except Exception:
            self._report_failure(getattr(command, "__name__", "command"))
            return
        self._execute(actions)

    def _tick(self) -> None:
        due = self.schedule.pop_due(now=time.monotonic())
        if not due:
            return
        # The tick of one slice may change when another is due.
        self.schedule.note_inputs()
        self.peers.reload_cut_file()
        for slice_ in due:
            try:
                actions = slice_.tick(now=time.monotonic())
            except Exception:
                self._report_failure(type(slice_).__name__)
                continue
            self._execute(actions)
        for command in self.on_tick:
            self._run_command(command)

    def _execute(self, actions: list[Action]) -> None:
        for action in actions:
            self._execute_action(action)

    def _execute_action(self, action: Action) -> None:
        match action:
            case Send(recipient, message) if recipient == self.host:
                self.local_messages.put(Envelope(self.host, 0, message))
            case Send(recipient, message):
                self.peers.send(recipient, message)
            case Append(stream, record):
                self.appender.append(stream, record)
            case Order():
                if self.orders is not None:
                    self.orders.send(action, decided_at=time.monotonic())
            case Resolve(ticket, value):
                self._resolve(ticket, value)
            case Emit(event):
                self.timeline.write(event)

    def _resolve(self, ticket: str, value: Any) -> None:
        future = self.pending.pop(ticket, None)
        if future is None or future.done():
            return
        if isinstance(value, BaseException):
            future.set_exception(value)
        else:
            future.set_result(value)

    def _report_failure(self, input_name: str) -> None:
        logger.exception("control.slice_failed", extra={"input": input_name})
        self.timeline.write(Event("control.slice_failed", detail={"input": input_name}))
