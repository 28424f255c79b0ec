"""What an earlier owner must tell its successor."""

from dataclasses import dataclass, replace

from thornlatch.dispatch._messages import OrderInDoubt, PinInDoubt


@dataclass(frozen=True)
class Handover:
    """State of an ownership that ended on this host.

    Parameters
    ----------
    epoch : int
        Epoch of the ownership if it knew all grants; -1 otherwise.
    ended_at : float
        Seconds.
    orders : tuple of OrderInDoubt
        Times are relative to `ended_at`.
    pins : tuple of PinInDoubt
        Times are relative to `ended_at`.
    """

    epoch: int
    ended_at: float
    orders: tuple[OrderInDoubt, ...]
    pins: tuple[PinInDoubt, ...]


class FormerOwnerships:
    """Handovers of one pool that a successor may still ask for."""

    def __init__(self) -> None:
        self.handovers: list[Handover] = []
        self.epoch = -1

    def add(self, handover: Handover) -> None:
        """Keep the state of an ownership that ended."""
        self.epoch = max(self.epoch, handover.epoch)
        self.handovers.append(handover)

    def get_epoch(self, now: float) -> int:
        """Return the last epoch whose uses are all told by `list_pins`.

        Once pins have ended by time, a use may go on that no one tells any more.
        """
        for handover in self.handovers:
            if handover.epoch == self.epoch and _is_pin_over(handover, now):
                self.epoch = -1
        return self.epoch

    def list_orders(self, now: float) -> tuple[OrderInDoubt, ...]:
        """Return the orders that targets may still carry out at `now`."""
        self._prune(now)
        return tuple(
            replace(order, settled_in_s=left_s)
            for handover in self.handovers
            for order in handover.orders
            if (left_s := handover.ended_at + order.settled_in_s - now) > 0
        )

    def list_pins(self, now: float) -> tuple[PinInDoubt, ...]:
        """Return the adapter versions that may still be in use at `now`."""
        self._prune(now)
        return tuple(
            replace(pin, ends_in_s=left_s)
            for handover in self.handovers
            for pin in handover.pins
            if (left_s := handover.ended_at + pin.ends_in_s - now) > 0
        )

    def _prune(self, now: float) -> None:
        self.get_epoch(now)
        self.handovers = [
            handover for handover in self.handovers if _find_end(handover) > now
        ]


def _is_pin_over(handover: Handover, now: float) -> bool:
    return any(now >= handover.ended_at + pin.ends_in_s for pin in handover.pins)


def _find_end(handover: Handover) -> float:
    times = [order.settled_in_s for order in handover.orders]
    times += [pin.ends_in_s for pin in handover.pins]
    return handover.ended_at + max(times, default=0.0)
