"""Membership: which hosts are live or departed, and whether this host may act."""

from thornlatch.membership._membership import Membership
from thornlatch.membership._messages import Heartbeat, HeartbeatAnswer
from thornlatch.membership._records import (
    CONTROL_STREAM,
    Accused,
    Defended,
    Expelled,
    HostRemoved,
    KeysReleased,
    SessionClosed,
    SessionOpened,
    ViewAcknowledged,
    ViewRecorded,
)
from thornlatch.membership._settings import MembershipSettings
from thornlatch.membership._view import Accusation, Departure, MembershipView, Wait
from thornlatch.membership._view_state import ViewLoader, build_empty_view

__all__ = [
    "CONTROL_STREAM",
    "Accusation",
    "Accused",
    "Defended",
    "Departure",
    "Expelled",
    "Heartbeat",
    "HeartbeatAnswer",
    "HostRemoved",
    "KeysReleased",
    "Membership",
    "MembershipSettings",
    "SessionClosed",
    "SessionOpened",
    "ViewAcknowledged",
    "MembershipView",
    "ViewLoader",
    "ViewRecorded",
    "Wait",
    "build_empty_view",
]
