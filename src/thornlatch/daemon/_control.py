"""The control thread: the only one that touches the state of slices."""

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
from thornlatch.daemon._journal import Journal
from thornlatch.daemon._schedule import TickSchedule
from thornlatch.exceptions import ErrorKind, RequestRefused
from thornlatch.mesh import PeerMesh

logger = logbook.Logger("thornlatch.control")

INBOX_BATCH = 500
Command = Callable[[float], list[Action]]


class OrderSender(Protocol):
    """Carries orders to targets."""

    def send(self, order: Order, *, decided_at: float) -> None:
        """Send an order from another thread and report its result."""


class RecordSender(Protocol):
    """Carries records to the log."""

    def append(self, stream: str, record: Any) -> None:
        """Queue a record for a stream."""


class ControlLoop:
    """Feeds messages, records, commands and time to the slices.

    Parameters
    ----------
    host : str
        This host's id.
    slices : tuple of Slice
        Offered every message and record, in this order.
    peers : PeerMesh
    appender : RecordSender
    journal : Journal
    """

    def __init__(
        self,
        *,
        host: str,
        slices: tuple[Slice, ...],
        peers: PeerMesh,
        appender: RecordSender,
        journal: Journal,
    ) -> None:
        self.host = host
        self.slices = slices
        self.schedule = TickSchedule(slices, now=time.monotonic())
        self.peers = peers
        self.appender = appender
        self.journal = journal
        self.orders: OrderSender | None = None
        self.on_tick: list[Command] = []
        self.inbox: queue.SimpleQueue[Command] = queue.SimpleQueue()
        self.waiting: dict[str, Future[Any]] = {}
        self.local: queue.SimpleQueue[Envelope] = queue.SimpleQueue()
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

    def ask(
        self, ticket: str, build: Callable[[str, float], list[Action]]
    ) -> "Future[Any]":
        """Run a command whose decision comes as a `Resolve` action.

        Parameters
        ----------
        ticket : str
            Unique for the life of the process.
        build : callable
            Takes ticket and `now` and returns actions.

        Returns
        -------
        Future
            Its result is the decision; a refusal is raised.
        """
        future: Future[Any] = Future()

        def begin(now: float) -> list[Action]:
            self.waiting[ticket] = future
            try:
                return build(ticket, now)
            except Exception as error:
                self.waiting.pop(ticket, None)
                future.set_exception(error)
                return []

        self.submit(begin)
        return future

    def withdraw(
        self,
        ticket: str,
        cancel: Callable[[float], list[Action]],
        undo: Callable[[Any, float], list[Action]],
        future: "Future[Any]",
    ) -> None:
        """Give up waiting for a decision; one that was made meanwhile is undone.

        Parameters
        ----------
        ticket : str
        cancel : callable
            Takes `now`; called if the decision is still open.
        undo : callable
            Takes decision and `now`; called if it was favourable.
        future : Future
        """

        def end(now: float) -> list[Action]:
            if self.waiting.pop(ticket, None) is not None:
                return cancel(now)
            is_granted = future.done() and future.exception() is None
            return undo(future.result(), now) if is_granted else []

        self.submit(end)

    def run(self) -> None:
        """Run until stopped."""
        poller = zmq.Poller()
        poller.register(self.peers.router, zmq.POLLIN)
        poller.register(self.wake_receiver.fileno(), zmq.POLLIN)
        while not self.is_stopping:
            now = time.monotonic()
            timeout_s = max(0.0, self.schedule.get_next(now=now) - now)
            ready = dict(poller.poll(int(timeout_s * 1000) + 1))
            cpu_before = time.thread_time()
            if self.peers.router in ready:
                self._take_messages()
            if self.wake_receiver.fileno() in ready:
                self._take_commands()
            self._tick()
            self._take_local_messages()
            self.busy_s += time.thread_time() - cpu_before
        self.peers.close()

    def replace_slices(self, host: str, slices: tuple[Slice, ...]) -> None:
        """Go on with the slices of a new session; called by the control thread.

        Parameters
        ----------
        host : str
            Id of the new session.
        slices : tuple of Slice
        """
        self.host = host
        self.slices = slices
        self.schedule = TickSchedule(slices, now=time.monotonic())
        for future in self.waiting.values():
            if not future.done():
                future.set_exception(
                    RequestRefused(
                        ErrorKind.HOST_UNCONFIRMED,
                        "this host's session has ended",
                        retry_after_s=1.0,
                    )
                )
        self.waiting.clear()

    def stop(self) -> None:
        """End the loop after the present turn."""
        self.is_stopping = True
        self.submit(lambda now: [])

    def _take_messages(self) -> None:
        for envelope in self.peers.iter_received():
            self._receive(envelope)

    def _take_local_messages(self) -> None:
        while not self.local.empty():
            self._receive(self.local.get_nowait())

    def _receive(self, envelope: Envelope) -> None:
        for part in self.schedule.iter_takers(type(envelope.message)):
            try:
                actions = part.handle(
                    envelope.message, sender=envelope.sender, now=time.monotonic()
                )
            except Exception:
                self._report_failure(type(envelope.message).__name__)
                continue
            self._execute(actions)

    def _take_commands(self) -> None:
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
        # What one slice does in its tick may be work for another.
        self.schedule.note_inputs()
        self.peers.reload_cut_file()
        for part in due:
            try:
                actions = part.tick(now=time.monotonic())
            except Exception:
                self._report_failure(type(part).__name__)
                continue
            self._execute(actions)
        for command in self.on_tick:
            self._run_command(command)

    def _execute(self, actions: list[Action]) -> None:
        for action in actions:
            self._execute_one(action)

    def _execute_one(self, action: Action) -> None:
        match action:
            case Send(recipient, message) if recipient == self.host:
                self.local.put(Envelope(self.host, 0, message))
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
                self.journal.write(event)

    def _resolve(self, ticket: str, value: Any) -> None:
        future = self.waiting.pop(ticket, None)
        if future is None or future.done():
            return
        if isinstance(value, BaseException):
            future.set_exception(value)
        else:
            future.set_result(value)

    def _report_failure(self, what: str) -> None:
        logger.exception("control.slice_failed", extra={"input": what})
        self.journal.write(Event("control.slice_failed", detail={"input": what}))
