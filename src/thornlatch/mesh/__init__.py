"""Message transport between the hosts of a fleet."""

from thornlatch.mesh._mesh import PeerCounts, PeerMesh, PeerSettings

__all__ = ["PeerCounts", "PeerMesh", "PeerSettings"]
